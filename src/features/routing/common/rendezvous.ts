/** Rendezvous (highest random weight) hashing: when a member leaves, only the keys that it held move. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MURMUR3_FIRST_MULTIPLIER = 0x85ebca6b;
const MURMUR3_SECOND_MULTIPLIER = 0xc2b2ae35;

/** A 32-bit hash of a string: FNV-1a, then the MurmurHash3 finalizer. The same in every process. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return finalize(hash);
}

/** Weight of a member for a key, from the hashes of both; the member with the highest weight holds the key. */
export function rendezvousWeight(keyHash: number, memberHash: number): number {
  return finalize(Math.imul(keyHash, MURMUR3_FIRST_MULTIPLIER) ^ memberHash);
}

/** The 32-bit finalizer of MurmurHash3. */
function finalize(value: number): number {
  let mixed = value ^ (value >>> 16);
  mixed = Math.imul(mixed, MURMUR3_FIRST_MULTIPLIER);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, MURMUR3_SECOND_MULTIPLIER);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
