/** Rendezvous (highest random weight) hashing: processes with the same list of names choose the same ones. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns the candidates in descending order of their score for a key; equal scores are ordered by name. */
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

/** Returns a 32-bit score: FNV-1a, then the finaliser of MurmurHash3. */
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
