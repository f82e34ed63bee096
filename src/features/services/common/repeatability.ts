import {
  PlainService,
  ServiceCall,
} from '../../configuration/common/configuration.js';

/** Whether calls to plain services may be run again. */

/** Whether a call may be run again: the longest matching prefix decides; what matches nothing may not. */
export function mayRepeat(
  service: PlainService | undefined,
  method: string,
  path: string,
): boolean {
  const matching = (service?.calls ?? []).filter(call =>
    matches(call, method, path),
  );
  const longest = Math.max(...matching.map(call => call.pathPrefix.length));
  const deciding = matching.filter(call => call.pathPrefix.length === longest);
  // Of two statements about the same prefix the careful one counts.
  return deciding.length > 0 && deciding.every(call => call.repeatable);
}

function matches(call: ServiceCall, method: string, path: string): boolean {
  return (
    call.method.toUpperCase() === method.toUpperCase() &&
    path.startsWith(call.pathPrefix)
  );
}
