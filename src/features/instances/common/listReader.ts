/** Decides which instances read the platform's list of upstreams, and how old it may get at each. */

/** Instances that share one reader: it answers each of them two to three times a second. */
const GROUP_SIZE = 16;

/** The reader's own list: with the rounds of talk (480 ms at most) no list gets much older than a second. */
const READER_AGE_MILLISECONDS = 500;

/**
 * Whoever has heard nothing newer for so long reads itself. An upstream that leaves must get nothing new
 * two seconds after it said so; this leaves time for a reading that fails and another.
 */
const FOLLOWER_AGE_MILLISECONDS = 1_100;

/** Where nobody is known to read for others. */
const ALONE_AGE_MILLISECONDS = 750;

/** The instance that reads for another one: the first by name of the serving ones around it. */
export function readerFor(
  name: string,
  serving: readonly string[],
): string | undefined {
  const sorted = [...new Set([...serving, name])].sort();
  const group = Math.floor(sorted.indexOf(name) / GROUP_SIZE);
  const members = sorted.slice(group * GROUP_SIZE, (group + 1) * GROUP_SIZE);
  return members.find(member => serving.includes(member));
}

/** How old the list may get at an instance before it reads it itself, in milliseconds. */
export function listAgeLimit(name: string, reader: string | undefined): number {
  if (reader === undefined) {
    return ALONE_AGE_MILLISECONDS;
  }
  return reader === name ? READER_AGE_MILLISECONDS : FOLLOWER_AGE_MILLISECONDS;
}
