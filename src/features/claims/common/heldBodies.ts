import {RequestOutcome} from '../../requests/common/request.js';
import {replyNotKept} from './claimRecord.js';

interface HeldBody {
  readonly length: number;
  readonly replace: (outcome: RequestOutcome) => void;
}

/** Bounds the reply text kept in memory: the oldest replies are replaced by a note that they ran. */
export class HeldBodies {
  private readonly held = new Map<string, HeldBody>();
  private characters = 0;

  constructor(private readonly limit: number) {}

  /** Replies that are counted. */
  get size(): number {
    return this.held.size;
  }

  /** Counts a reply; `replace` is called when its text must go. */
  hold(
    keyHash: string,
    length: number,
    replace: (outcome: RequestOutcome) => void,
  ): void {
    if (length === 0) {
      return;
    }
    this.characters -= this.held.get(keyHash)?.length ?? 0;
    this.held.set(keyHash, {length, replace});
    this.characters += length;
    this.shrink();
  }

  /** Stops counting the reply of a key that is no longer kept. */
  release(keyHash: string): void {
    this.characters -= this.held.get(keyHash)?.length ?? 0;
    this.held.delete(keyHash);
  }

  private shrink(): void {
    for (const [keyHash, body] of this.held) {
      if (this.characters <= this.limit) {
        return;
      }
      this.held.delete(keyHash);
      this.characters -= body.length;
      body.replace(replyNotKept);
    }
  }
}
