import {RequestOutcome} from '../../requests/common/request.js';
import {responseNotRetained} from './claimRecord.js';

interface TrackedBody {
  readonly length: number;
  readonly replace: (outcome: RequestOutcome) => void;
}

/** Limits the memory for response bodies: over the limit, the oldest are replaced by `responseNotRetained`. */
export class BodyMemoryBudget {
  private readonly held = new Map<string, TrackedBody>();
  private totalCharacters = 0;

  constructor(private readonly limit: number) {}

  /** Number of tracked bodies. */
  get size(): number {
    return this.held.size;
  }

  /** Adds a body to the budget; `replace` is called when the body is evicted. */
  track(
    keyHash: string,
    length: number,
    replace: (outcome: RequestOutcome) => void,
  ): void {
    if (length === 0) {
      return;
    }
    this.totalCharacters -= this.held.get(keyHash)?.length ?? 0;
    this.held.set(keyHash, {length, replace});
    this.totalCharacters += length;
    this.evictOldest();
  }

  /** Removes the body of an evicted key from the budget. */
  release(keyHash: string): void {
    this.totalCharacters -= this.held.get(keyHash)?.length ?? 0;
    this.held.delete(keyHash);
  }

  private evictOldest(): void {
    for (const [keyHash, body] of this.held) {
      if (this.totalCharacters <= this.limit) {
        return;
      }
      this.held.delete(keyHash);
      this.totalCharacters -= body.length;
      body.replace(responseNotRetained);
    }
  }
}
