/** Selects the instances that read the platform's list of upstreams, and bounds the list's age at each instance. */

/** Instances that share one reader, which answers each of them two to three times a second. */
const READER_GROUP_SIZE = 16;

/** Age limit at a reader. With gossip rounds of at most 480 ms, no list gets much older than a second. */
const READER_AGE_LIMIT_MILLISECONDS = 500;

/**
 * Age limit at an instance that has a reader; above it, the instance reads the list itself. An upstream must
 * receive no new requests two seconds after it announced that it leaves; this limit leaves time for a failed
 * read and another one.
 */
const FOLLOWER_AGE_LIMIT_MILLISECONDS = 1_100;

/** Age limit at an instance that has no reader. */
const STANDALONE_AGE_LIMIT_MILLISECONDS = 750;

/** Selects the reader of an instance: the first serving one, by name, of its group; undefined when none serves. */
export function selectListReader(
  name: string,
  serving: readonly string[],
): string | undefined {
  const sorted = [...new Set([...serving, name])].sort();
  const group = Math.floor(sorted.indexOf(name) / READER_GROUP_SIZE);
  const members = sorted.slice(
    group * READER_GROUP_SIZE,
    (group + 1) * READER_GROUP_SIZE,
  );
  return members.find(member => serving.includes(member));
}

/** Age in milliseconds from which an instance reads the list itself. */
export function listAgeLimitFor(
  name: string,
  reader: string | undefined,
): number {
  if (reader === undefined) {
    return STANDALONE_AGE_LIMIT_MILLISECONDS;
  }
  return reader === name
    ? READER_AGE_LIMIT_MILLISECONDS
    : FOLLOWER_AGE_LIMIT_MILLISECONDS;
}
