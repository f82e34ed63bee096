import {Finding} from '../../../base/common/finding.js';
import {failure, Result, success} from '../../../base/common/result.js';

/** Reading of calls to plain services. */

/** The service and the path after its name, query included. */
export interface ServiceTarget {
  readonly service: string;
  readonly path: string;
}

const SERVICE_PREFIX = '/v1/services/';
const PATH_CHARACTERS = /^[\x21-\x7e]*$/;
const AMBIGUOUS_STEP = /(^|\/)(\.|%2e){1,2}(\/|$)|\/\/|\\|%2f|%5c/i;

/**
 * Splits a request's URL. Paths that a service could read as another path than the router does
 * (dot segments, encoded slashes) are refused: whether a call may be repeated hangs on its path.
 */
export function readServiceTarget(
  url: string,
): Result<ServiceTarget, readonly Finding[]> {
  const rest = url.slice(SERVICE_PREFIX.length);
  const end = rest.search(/[/?]/);
  const service = end < 0 ? rest : rest.slice(0, end);
  const after = end < 0 ? '/' : rest.slice(end);
  const path = after.startsWith('/') ? after : `/${after}`;
  const [pathOnly] = path.split('?', 1);
  if (!PATH_CHARACTERS.test(path) || AMBIGUOUS_STEP.test(pathOnly!)) {
    return failure([
      {
        source: 'url',
        path: 'path',
        expected: 'a path without dot segments, empty steps or encoded slashes',
      },
    ]);
  }
  return success({service, path});
}
