import {createHash} from 'node:crypto';

import {CallerRequest} from '../common/callerExchange.js';
import {AdmittedRequest} from './admittedRequest.js';

/** Characters of a key: enough that no two requests share one by chance. */
const KEY_CHARACTERS = 22;

/**
 * Identifies a request and its repeats at all instances, whatever identifiers its attempts have: by the last part of its prompt,
 * which belongs to it alone, or else by all that it asks for.
 */
export function createRequestKey(
  {account, body, facts}: AdmittedRequest,
  {method, target}: CallerRequest,
): string {
  const lastPart = facts.promptParts.at(-1);
  const identity =
    lastPart === undefined ? [facts.host, method, target] : [lastPart];
  const hash = createHash('sha256').update(
    JSON.stringify([account ?? null, ...identity]),
  );
  if (lastPart === undefined) {
    hash.update(body);
  }
  return hash.digest('base64url').slice(0, KEY_CHARACTERS);
}
