import {ModelRequest} from '../../requests/common/request.js';
import {WorkEstimate} from '../../routing/common/routing.js';
import {PREFIX_TOKENS, prefixKeyOf} from './prefixKey.js';

/**
 * Describes what is left of a request; `released` tokens were given out by monotonic time `now`.
 * A reply that has begun goes on with its version: tokens of two versions are no one's reply.
 */
export function estimateWork(
  request: ModelRequest,
  expectedTokens: number,
  released: number,
  now: number,
  version?: string,
): WorkEstimate {
  const targets = request.classOfWork;
  const firstTokenWithin =
    request.arrivedAt + targets.firstTokenMilliseconds - now;
  const dueWithin =
    released > 0 ? targets.betweenTokensMilliseconds : firstTokenWithin;
  const prefixKey = prefixKeyOf(
    request.model.name,
    request.adapter,
    request.promptTokens,
  );
  return {
    requestId: request.requestId,
    classOfWork: targets.name,
    clientAccount: request.clientAccount,
    adapter: request.adapter,
    promptTokens: request.promptTokens.length + released,
    outputTokens: Math.max(1, expectedTokens - released),
    prefixKey,
    prefixTokens: prefixKey === undefined ? 0 : PREFIX_TOKENS,
    ...(released > 0 && version !== undefined ? {version} : {}),
    firstTokenWithin: dueWithin,
    betweenTokensTarget: targets.betweenTokensMilliseconds,
    deadlineWithin: request.deadlineAt - now,
    priority: Math.max(0, Math.round(dueWithin)),
  };
}
