/** Rendezvous (highest random weight) hashing: every process that knows the same names picks the same ones. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** The names in falling order of their score for a key. */
export function rankByRendezvous<T>(
  key: string,
  candidates: readonly T[],
  nameOf: (candidate: T) => string,
): readonly T[] {
  const scored = candidates.map(candidate => ({
    candidate,
    name: nameOf(candidate),
    score: rendezvousScore(key, nameOf(candidate)),
  }));
  scored.sort(
    (left, right) =>
      right.score - left.score || (left.name < right.name ? -1 : 1),
  );
  return scored.map(({candidate}) => candidate);
}

/** A 32-bit score (FNV-1a, then the finaliser of MurmurHash3). */
export function rendezvousScore(key: string, name: string): number {
  let hash = FNV_OFFSET;
  const text = `${key}\u0000${name}`;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
