import {RequestOutcome} from '../../requests/common/request.js';
import {bodyLength, KeyState} from './claimRecord.js';
import {BodyMemoryBudget} from './bodyMemoryBudget.js';

/** Cache of recently ended plain keys, so that most resubmissions need no table read; evicts the oldest keys. */
export class EndedKeyCache {
  private readonly keys = new Map<string, KeyState>();
  private readonly bodyBudget: BodyMemoryBudget;

  constructor(
    private readonly limit: number,
    bodyLimit: number,
  ) {
    this.bodyBudget = new BodyMemoryBudget(bodyLimit);
  }

  /** Number of keys whose response body is in memory. */
  get retainedBodyCount(): number {
    return this.bodyBudget.size;
  }

  get(keyHash: string): KeyState | undefined {
    return this.keys.get(keyHash);
  }

  add(
    keyHash: string,
    outcome: RequestOutcome,
    fingerprint: string | undefined,
  ): void {
    this.keys.delete(keyHash);
    this.keys.set(keyHash, {outcome, fingerprint});
    if (this.keys.size > this.limit) {
      const [oldest] = this.keys.keys();
      this.keys.delete(oldest!);
      this.bodyBudget.release(oldest!);
    }
    this.bodyBudget.track(keyHash, bodyLength(outcome), replacement => {
      if (this.keys.has(keyHash)) {
        this.keys.set(keyHash, {outcome: replacement, fingerprint});
      }
    });
  }
}
