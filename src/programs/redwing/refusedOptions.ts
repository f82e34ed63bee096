/** Options that operators may look for and that can't exist: targets are stated, nothing else. */

/** What is said to someone who tries to state a weight or an address. */
export const TARGETS_ONLY =
  "weights and addresses can't be stated: operators state targets per class, and the system chooses";

const REFUSED_NAMES = new Set([
  'weight',
  'weights',
  'address',
  'addresses',
  'upstream',
  'upstreams',
  'host',
  'port',
]);

/** The first option on a command line that states a weight or an address. */
export function findRefusedOption(
  words: readonly string[],
): string | undefined {
  return words.find(word => {
    const name = /^--?([a-z]+)/.exec(word)?.[1];
    return name !== undefined && REFUSED_NAMES.has(name);
  });
}
