import {RequestOutcome} from '../../requests/common/request.js';
import {bodyLength, isNotRun, KnownKey} from './claimRecord.js';
import {refuseReuse} from './fingerprints.js';
import {HeldBodies} from './heldBodies.js';

/** What came of taking a bound key. */
export type BoundTake =
  | {readonly kind: 'granted'}
  | {readonly kind: 'seen'; readonly outcome: RequestOutcome}
  /** Granted for another request. */
  | {readonly kind: 'keyReused'; readonly sameWork: boolean}
  /** Never dispatched, and the grant has expired. */
  | {readonly kind: 'expired'}
  /** So long expired that it may have been dispatched and forgotten. */
  | {readonly kind: 'forgotten'}
  /** Never dispatched, and there is no room to remember it until the time has passed. */
  | {readonly kind: 'full'; readonly retryAfterMilliseconds: number};

/** Bounds of the memory; times in milliseconds. */
export interface BoundKeyLimits {
  readonly boundKeyLimit: number;
  readonly rememberAfterExpiryMilliseconds: number;
  readonly heldBodyLimit: number;
}

/** A bucket spans this share of the time that expired keys are remembered. */
const BUCKET_SHARE = 0.1;
const RUNNING: RequestOutcome = {kind: 'running'};

/**
 * The bound keys that this incarnation has granted. A key is remembered until its grant has expired
 * and a margin has passed, and is never forgotten earlier: what isn't here before that time was
 * never dispatched. `now` is this incarnation's own time, which issued the grants and never goes back.
 */
export class BoundKeys {
  /** By key hash, in buckets by expiry, so that forgetting is cheap. */
  private readonly buckets = new Map<number, Map<string, KnownKey>>();
  private readonly bodies: HeldBodies;
  private readonly bucketMilliseconds: number;
  private count = 0;

  constructor(private readonly limits: BoundKeyLimits) {
    const span = limits.rememberAfterExpiryMilliseconds * BUCKET_SHARE;
    this.bucketMilliseconds = Math.max(1, span);
    this.bodies = new HeldBodies(limits.heldBodyLimit);
  }

  /** Keys remembered now. */
  get size(): number {
    return this.count;
  }

  /**
   * Takes a key; granted at most once, and again only after an outcome that says that nothing ran.
   * A key stands for the request that it was first granted for, whatever came of it.
   */
  take(
    keyHash: string,
    expiresAt: number,
    now: number,
    fingerprint?: string,
  ): BoundTake {
    this.forgetExpired(now);
    if (now >= this.forgottenAt(expiresAt)) {
      return {kind: 'forgotten'};
    }
    const known = this.get(keyHash, expiresAt);
    const reused = refuseReuse(known?.fingerprint, fingerprint);
    if (reused !== undefined) {
      return reused;
    }
    const outcome = known?.outcome;
    if (outcome !== undefined && !isNotRun(outcome)) {
      return {kind: 'seen', outcome};
    }
    if (now >= expiresAt) {
      return outcome === undefined
        ? {kind: 'expired'}
        : {kind: 'seen', outcome};
    }
    if (outcome === undefined && this.count >= this.limits.boundKeyLimit) {
      return {kind: 'full', retryAfterMilliseconds: this.roomAt() - now};
    }
    this.set(keyHash, expiresAt, {
      outcome: RUNNING,
      fingerprint: known?.fingerprint ?? fingerprint,
    });
    return {kind: 'granted'};
  }

  /** A key that was granted here. */
  get(keyHash: string, expiresAt: number): KnownKey | undefined {
    return this.buckets.get(this.bucketOf(expiresAt))?.get(keyHash);
  }

  /** Whether a key may have been granted here and forgotten. */
  isForgotten(expiresAt: number, now: number): boolean {
    return now >= this.forgottenAt(expiresAt);
  }

  /** Ends a running key; false when it isn't running here. */
  end(keyHash: string, expiresAt: number, outcome: RequestOutcome): boolean {
    const known = this.get(keyHash, expiresAt);
    if (known?.outcome.kind !== 'running') {
      return false;
    }
    const {fingerprint} = known;
    this.set(keyHash, expiresAt, {outcome, fingerprint});
    const length = bodyLength(outcome);
    this.bodies.hold(keyHash, length, left => {
      if (this.get(keyHash, expiresAt) !== undefined) {
        this.set(keyHash, expiresAt, {outcome: left, fingerprint});
      }
    });
    return true;
  }

  private forgottenAt(expiresAt: number): number {
    return expiresAt + this.limits.rememberAfterExpiryMilliseconds;
  }

  private set(keyHash: string, expiresAt: number, known: KnownKey): void {
    const number = this.bucketOf(expiresAt);
    const bucket = this.buckets.get(number) ?? new Map();
    this.buckets.set(number, bucket);
    this.count += bucket.has(keyHash) ? 0 : 1;
    bucket.set(keyHash, known);
  }

  private forgetExpired(now: number): void {
    for (const [number, bucket] of this.buckets) {
      if (now >= this.bucketForgottenAt(number)) {
        this.buckets.delete(number);
        this.count -= bucket.size;
      }
    }
  }

  /** When the first keys are forgotten. */
  private roomAt(): number {
    return this.bucketForgottenAt(Math.min(...this.buckets.keys()));
  }

  private bucketForgottenAt(number: number): number {
    return this.forgottenAt((number + 1) * this.bucketMilliseconds);
  }

  private bucketOf(expiresAt: number): number {
    return Math.floor(expiresAt / this.bucketMilliseconds);
  }
}
