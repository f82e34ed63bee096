import {hashText} from './hashText.js';

/** Rendezvous (highest random weight) hashing: processes with the same list of names choose the same ones. */

const MURMUR3_FIRST_MULTIPLIER = 0x85ebca6b;
const MURMUR3_SECOND_MULTIPLIER = 0xc2b2ae35;

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

/** Returns a 32-bit score of a name for a key. */
export function rendezvousScore(key: string, name: string): number {
  return mixedHash(`${key}\u0000${name}`);
}

/** Returns a 32-bit hash with well distributed bits; the same in every process. */
export function mixedHash(text: string): number {
  return mix(hashText(text));
}

/**
 * Weight of a member for a key, from the mixed hashes of both; the member with the highest weight holds the key.
 * Cheaper than `rendezvousScore` where each hash is used often.
 */
export function rendezvousWeight(keyHash: number, memberHash: number): number {
  return mix(Math.imul(keyHash, MURMUR3_FIRST_MULTIPLIER) ^ memberHash);
}

/** The 32-bit finalizer of MurmurHash3. */
function mix(value: number): number {
  let mixed = value ^ (value >>> 16);
  mixed = Math.imul(mixed, MURMUR3_FIRST_MULTIPLIER);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, MURMUR3_SECOND_MULTIPLIER);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
