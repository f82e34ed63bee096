import {ModelRequest} from '../../requests/common/request.js';
import {WorkEstimate} from '../../routing/common/routing.js';
import {PREFIX_TOKEN_COUNT, prefixKeyOf} from './prefixKey.js';

/**
 * Estimates the remaining work of a request that has released `releasedTokens` at monotonic time `nowMilliseconds`.
 * Once a reply has started, it stays on its model version, since a reply must not mix tokens of two versions.
 */
export function estimateWork(
  request: ModelRequest,
  expectedTokens: number,
  releasedTokens: number,
  nowMilliseconds: number,
  version?: string,
): WorkEstimate {
  const targets = request.classOfWork;
  const firstTokenWithin =
    request.arrivedAt + targets.firstTokenMilliseconds - nowMilliseconds;
  const nextTokenWithin =
    releasedTokens > 0 ? targets.betweenTokensMilliseconds : firstTokenWithin;
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
    promptTokens: request.promptTokens.length + releasedTokens,
    outputTokens: Math.max(1, expectedTokens - releasedTokens),
    prefixKey,
    prefixTokens: prefixKey === undefined ? 0 : PREFIX_TOKEN_COUNT,
    ...(releasedTokens > 0 && version !== undefined ? {version} : {}),
    firstTokenWithinMilliseconds: nextTokenWithin,
    betweenTokensTargetMilliseconds: targets.betweenTokensMilliseconds,
    deadlineWithinMilliseconds: request.deadlineAt - nowMilliseconds,
    priority: Math.max(0, Math.round(nextTokenWithin)),
  };
}
