/** Rendezvous (highest random weight) hashing: when a member leaves, only what it held moves. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MIX_FIRST = 0x85ebca6b;
const MIX_SECOND = 0xc2b2ae35;

/** A 32-bit hash of a string (FNV-1a with a final mix); alike in every process. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return mix(hash);
}

/** The weight of a member for a key, from the hashes of both. */
export function rendezvousWeight(keyHash: number, memberHash: number): number {
  return mix(Math.imul(keyHash, MIX_FIRST) ^ memberHash);
}

function mix(value: number): number {
  let mixed = value ^ (value >>> 16);
  mixed = Math.imul(mixed, MIX_FIRST);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, MIX_SECOND);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
