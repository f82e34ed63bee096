import {hashText} from '../../../base/common/hashText.js';

const CACHE_LIMIT = 8;

/** Identifies a list of instance ids by its length and a 32-bit FNV-1a hash. */
export function rosterFingerprint(ids: readonly string[]): string {
  const hash = hashText(ids.join('\n'));
  return `${ids.length}-${hash.toString(16)}`;
}

/** Caches the id lists of peers by fingerprint; evicts the oldest first. */
export class RosterCache {
  private readonly rosters = new Map<string, readonly string[]>();

  get(fingerprint: string): readonly string[] | undefined {
    return this.rosters.get(fingerprint);
  }

  /** Adds a list under its fingerprint. */
  add(ids: readonly string[]): void {
    const fingerprint = rosterFingerprint(ids);
    this.rosters.delete(fingerprint);
    this.rosters.set(fingerprint, ids);
    const oldest = this.rosters.keys().next().value;
    if (this.rosters.size > CACHE_LIMIT && oldest !== undefined) {
      this.rosters.delete(oldest);
    }
  }
}
