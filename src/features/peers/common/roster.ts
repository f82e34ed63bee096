import {textHash} from '../../../base/common/textHash.js';

const CACHE_LIMIT = 8;

/** Names a list of instance ids by its length and a 32-bit FNV-1a hash. */
export function rosterName(ids: readonly string[]): string {
  const hash = textHash(ids.join('\n'));
  return `${ids.length}-${hash.toString(16)}`;
}

/** The lists of ids that peers follow, the oldest forgotten first. */
export class RosterCache {
  private readonly rosters = new Map<string, readonly string[]>();

  get(name: string): readonly string[] | undefined {
    return this.rosters.get(name);
  }

  /** Keeps a list under its own name. */
  add(ids: readonly string[]): void {
    const name = rosterName(ids);
    this.rosters.delete(name);
    this.rosters.set(name, ids);
    const oldest = this.rosters.keys().next().value;
    if (this.rosters.size > CACHE_LIMIT && oldest !== undefined) {
      this.rosters.delete(oldest);
    }
  }
}
