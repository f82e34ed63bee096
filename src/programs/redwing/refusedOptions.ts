/** Options that operators may expect but that don't exist, because operators only state targets. */

/** Message for an option that states a weight or an address. */
export const TARGETS_ONLY_MESSAGE =
  "weights and addresses can't be stated: operators state targets per class, and the system chooses";

const REFUSED_OPTION_NAMES = new Set([
  'weight',
  'weights',
  'address',
  'addresses',
  'upstream',
  'upstreams',
  'host',
  'port',
]);

/** Returns the first option of a command line that states a weight or an address. */
export function findRefusedOption(
  commandLine: readonly string[],
): string | undefined {
  return commandLine.find(argument => {
    const name = /^--?([a-z]+)/.exec(argument)?.[1];
    return name !== undefined && REFUSED_OPTION_NAMES.has(name);
  });
}
