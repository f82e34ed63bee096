import {RequestOutcome} from '../../requests/common/request.js';
import {bodyLength, KnownKey} from './claimRecord.js';
import {HeldBodies} from './heldBodies.js';

/** The last ended plain keys, so that most resubmissions need no table; the oldest make room. */
export class EndedKeys {
  private readonly keys = new Map<string, KnownKey>();
  private readonly bodies: HeldBodies;

  constructor(
    private readonly limit: number,
    bodyLimit: number,
  ) {
    this.bodies = new HeldBodies(bodyLimit);
  }

  get(keyHash: string): KnownKey | undefined {
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
    }
    this.bodies.hold(keyHash, bodyLength(outcome), left => {
      if (this.keys.has(keyHash)) {
        this.keys.set(keyHash, {outcome: left, fingerprint});
      }
    });
  }
}
