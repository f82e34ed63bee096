import {RequestOutcome} from '../../requests/common/request.js';
import {bodyLength, isNotRun, KeyState} from './claimRecord.js';
import {checkKeyReuse} from './fingerprints.js';
import {BodyMemoryBudget} from './bodyMemoryBudget.js';

/** The result of claiming a bound key of this incarnation. */
export type BoundClaimResult =
  | {readonly kind: 'granted'}
  | {readonly kind: 'seen'; readonly outcome: RequestOutcome}
  /** The key was granted for a different request. */
  | {readonly kind: 'keyReused'; readonly sameWork: boolean}
  /** Never dispatched, and the grant has expired. */
  | {readonly kind: 'expired'}
  /** The retention is over: the key may have been dispatched and evicted since. */
  | {readonly kind: 'forgotten'}
  /** Never dispatched, and the registry has no capacity for the key until the next eviction. */
  | {readonly kind: 'full'; readonly retryAfterMilliseconds: number};

/** Limits of the registry. */
export interface BoundKeyLimits {
  readonly boundKeyLimit: number;
  readonly rememberAfterExpiryMilliseconds: number;
  readonly heldBodyLimit: number;
}

/** Time span of a bucket as a fraction of the retention after expiry. */
const BUCKET_RETENTION_RATIO = 0.1;
const RUNNING: RequestOutcome = {kind: 'running'};

/**
 * The bound keys for which this incarnation has granted claims. A key is retained for a fixed time after its
 * grant expires and is never evicted earlier, so a key that is missing before that time was never dispatched.
 * `now` must come from the monotonic clock of this incarnation that also sets the expiry of grants.
 */
export class BoundKeyRegistry {
  /** Key states by key hash, in buckets by expiry, so that a whole bucket can be evicted at once. */
  private readonly buckets = new Map<number, Map<string, KeyState>>();
  private readonly bodyBudget: BodyMemoryBudget;
  private readonly bucketMilliseconds: number;
  private count = 0;

  constructor(private readonly limits: BoundKeyLimits) {
    const bucketSpan =
      limits.rememberAfterExpiryMilliseconds * BUCKET_RETENTION_RATIO;
    this.bucketMilliseconds = Math.max(1, bucketSpan);
    this.bodyBudget = new BodyMemoryBudget(limits.heldBodyLimit);
  }

  /** Number of retained keys. */
  get size(): number {
    return this.count;
  }

  /** Number of keys whose response body is in memory. */
  get retainedBodyCount(): number {
    return this.bodyBudget.size;
  }

  /**
   * Claims a key. A claim is granted once, and again only after an outcome that says that nothing ran.
   * A key stays tied to the first request that it was granted for, whatever its outcome.
   */
  tryClaim(
    keyHash: string,
    expiresAt: number,
    now: number,
    fingerprint?: string,
  ): BoundClaimResult {
    this.evictExpired(now);
    if (now >= this.evictionTimeOf(expiresAt)) {
      return {kind: 'forgotten'};
    }
    const known = this.get(keyHash, expiresAt);
    const refusal = checkKeyReuse(known?.fingerprint, fingerprint);
    if (refusal !== undefined) {
      return refusal;
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
      return {
        kind: 'full',
        retryAfterMilliseconds: this.nextEvictionTime() - now,
      };
    }
    this.set(keyHash, expiresAt, {
      outcome: RUNNING,
      fingerprint: known?.fingerprint ?? fingerprint,
    });
    return {kind: 'granted'};
  }

  /** The state of a key whose claim was granted here. */
  get(keyHash: string, expiresAt: number): KeyState | undefined {
    return this.buckets.get(this.bucketIndexOf(expiresAt))?.get(keyHash);
  }

  /** Whether a key may have been granted here and evicted since. */
  isRetentionOver(expiresAt: number, now: number): boolean {
    return now >= this.evictionTimeOf(expiresAt);
  }

  /** Sets the outcome of a running key; false when the key is not running here. */
  end(keyHash: string, expiresAt: number, outcome: RequestOutcome): boolean {
    const known = this.get(keyHash, expiresAt);
    if (known?.outcome.kind !== 'running') {
      return false;
    }
    const {fingerprint} = known;
    this.set(keyHash, expiresAt, {outcome, fingerprint});
    const length = bodyLength(outcome);
    this.bodyBudget.track(keyHash, length, replacement => {
      if (this.get(keyHash, expiresAt) !== undefined) {
        this.set(keyHash, expiresAt, {outcome: replacement, fingerprint});
      }
    });
    return true;
  }

  private evictionTimeOf(expiresAt: number): number {
    return expiresAt + this.limits.rememberAfterExpiryMilliseconds;
  }

  private set(keyHash: string, expiresAt: number, state: KeyState): void {
    const index = this.bucketIndexOf(expiresAt);
    const bucket = this.buckets.get(index) ?? new Map();
    this.buckets.set(index, bucket);
    this.count += bucket.has(keyHash) ? 0 : 1;
    bucket.set(keyHash, state);
  }

  private evictExpired(now: number): void {
    for (const [index, bucket] of this.buckets) {
      if (now >= this.bucketEvictionTimeOf(index)) {
        this.buckets.delete(index);
        this.count -= bucket.size;
        for (const keyHash of bucket.keys()) {
          this.bodyBudget.release(keyHash);
        }
      }
    }
  }

  /** When the bucket with the earliest expiry is evicted. */
  private nextEvictionTime(): number {
    return this.bucketEvictionTimeOf(Math.min(...this.buckets.keys()));
  }

  private bucketEvictionTimeOf(index: number): number {
    return this.evictionTimeOf((index + 1) * this.bucketMilliseconds);
  }

  private bucketIndexOf(expiresAt: number): number {
    return Math.floor(expiresAt / this.bucketMilliseconds);
  }
}
