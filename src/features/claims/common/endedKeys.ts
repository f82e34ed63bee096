import {RequestOutcome} from '../../requests/common/request.js';
import {bodyLength} from './claimRecord.js';
import {HeldBodies} from './heldBodies.js';

/** The last ended plain keys, so that most resubmissions need no table; the oldest make room. */
export class EndedKeys {
  private readonly outcomes = new Map<string, RequestOutcome>();
  private readonly bodies: HeldBodies;

  constructor(
    private readonly limit: number,
    bodyLimit: number,
  ) {
    this.bodies = new HeldBodies(bodyLimit);
  }

  get(keyHash: string): RequestOutcome | undefined {
    return this.outcomes.get(keyHash);
  }

  add(keyHash: string, outcome: RequestOutcome): void {
    this.outcomes.delete(keyHash);
    this.outcomes.set(keyHash, outcome);
    if (this.outcomes.size > this.limit) {
      const [oldest] = this.outcomes.keys();
      this.outcomes.delete(oldest!);
    }
    this.bodies.hold(keyHash, bodyLength(outcome), left => {
      if (this.outcomes.has(keyHash)) {
        this.outcomes.set(keyHash, left);
      }
    });
  }
}
