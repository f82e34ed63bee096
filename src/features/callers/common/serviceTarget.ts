import {Finding} from '../../../base/common/finding.js';
import {failure, Result, success} from '../../../base/common/result.js';

/** Parses the URLs of calls to plain services. */

/** The service name and the path after it, including the query. */
export interface ServiceTarget {
  readonly service: string;
  readonly path: string;
}

const SERVICE_PREFIX = '/v1/services/';
const PATH_CHARACTERS = /^[\x21-\x7e]*$/;
const AMBIGUOUS_SEGMENT = /(^|\/)(\.|%2e){1,2}(\/|$)|\/\/|\\|%2f|%5c/i;

/**
 * Splits a request URL into service and path. Refuses paths that a service could resolve differently
 * from the router (dot segments, encoded slashes), because the path decides whether a call may be repeated.
 */
export function readServiceTarget(
  url: string,
): Result<ServiceTarget, readonly Finding[]> {
  const rest = url.slice(SERVICE_PREFIX.length);
  const end = rest.search(/[/?]/);
  const service = end < 0 ? rest : rest.slice(0, end);
  const suffix = end < 0 ? '/' : rest.slice(end);
  const path = suffix.startsWith('/') ? suffix : `/${suffix}`;
  const [pathOnly] = path.split('?', 1);
  if (!PATH_CHARACTERS.test(path) || AMBIGUOUS_SEGMENT.test(pathOnly!)) {
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
