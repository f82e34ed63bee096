import {
  PlainService,
  ServiceCall,
} from '../../configuration/common/configuration.js';

/** Whether a call may be repeated: the longest matching path prefix decides; a call without a match must not be. */
export function isCallRepeatable(
  service: PlainService | undefined,
  method: string,
  path: string,
): boolean {
  const matching = (service?.calls ?? []).filter(call =>
    matches(call, method, path),
  );
  const longest = Math.max(...matching.map(call => call.pathPrefix.length));
  const deciding = matching.filter(call => call.pathPrefix.length === longest);
  // If entries for the same prefix contradict each other, the call must not be repeated.
  return deciding.length > 0 && deciding.every(call => call.repeatable);
}

function matches(call: ServiceCall, method: string, path: string): boolean {
  return (
    call.method.toUpperCase() === method.toUpperCase() &&
    path.startsWith(call.pathPrefix)
  );
}
