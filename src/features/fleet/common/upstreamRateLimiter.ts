import {Clock} from '../../../base/common/clock.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {LimitShare, LimitSharers, shareLimit} from './limitShare.js';
import {TokenBucket} from './tokenBucket.js';
import {Upstream} from './upstream.js';
import {UpstreamLimit, UpstreamLimitTracker} from './upstreamLimitTracker.js';

/** Requests that a holder may send at once after a time without any. */
const BURST = 2;

/**
 * Time without an answer that names the limit after which another instance sends one request: the holders may have no
 * request for the upstream, or be cut off from it, and only an answer tells that the limit has ended.
 */
const MIN_TRIAL_PERIOD_MILLISECONDS = 2_000;
const MAX_TRIAL_PERIOD_MILLISECONDS = 10_000;

/** Time for which a computed share is used; ranking hundreds of instances for each request would cost too much. */
const SHARE_LIFETIME_MILLISECONDS = 200;

/** The part of a limit that this instance may use, as computed at some time. */
interface CurrentShare {
  readonly share: LimitShare;
  /** The limit that the share is a part of. */
  readonly requestsPerSecond: number;
  readonly liveCount: number;
  readonly computedAt: number;
}

/** What this instance may send and has sent to a limited upstream. */
interface SendingState {
  readonly current: CurrentShare;
  /** Used while this instance is a holder. */
  readonly bucket: TokenBucket;
  /** When this instance last sent a request without being a holder. */
  readonly triedAt: number;
}

/**
 * Decides whether this instance may send a request to an upstream that names a limit for all instances together. A few
 * instances, the holders, use the upstream; all others pass it over.
 */
export class UpstreamRateLimiter {
  private readonly states = new Map<string, SendingState>();

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly limits: UpstreamLimitTracker,
    private readonly sharers: () => LimitSharers,
  ) {}

  /** Whether a request may be sent to an upstream now. */
  canSend(upstream: Upstream): boolean {
    return this.millisecondsUntilPermit(upstream) === 0;
  }

  /** Counts a request that is sent to an upstream: first sends, repeats and resumed streams alike. */
  recordSend(upstream: Upstream): void {
    const limit = this.limits.limitOf(upstream.id);
    if (limit === undefined) {
      this.states.delete(upstream.id);
      return;
    }
    const state = this.updateState(upstream, limit);
    if (isHolder(state.current.share)) {
      state.bucket.take();
    } else {
      this.states.set(upstream.id, {...state, triedAt: this.now()});
    }
  }

  /** Milliseconds until this instance may send to an upstream; 0 if it may now, Infinity while others use its limit. */
  millisecondsUntilPermit(upstream: Upstream): number {
    const limit = this.limits.limitOf(upstream.id);
    if (limit === undefined) {
      return 0;
    }
    const state = this.updateState(upstream, limit);
    const {share} = state.current;
    if (isHolder(share)) {
      return state.bucket.millisecondsUntilToken(share.requestsPerSecond);
    }
    return this.mayTry(state, limit) ? 0 : Infinity;
  }

  /** Milliseconds between two requests of all instances together to an upstream; 0 if it names no limit. */
  millisecondsPerRequest({id}: Upstream): number {
    const limit = this.limits.limitOf(id);
    return limit === undefined ? 0 : 1_000 / limit.requestsPerSecond;
  }

  /** Forgets the upstreams that the predicate rejects. */
  retain(isKept: (upstream: string) => boolean): void {
    for (const upstream of this.states.keys()) {
      if (!isKept(upstream)) {
        this.states.delete(upstream);
      }
    }
  }

  /**
   * Whether an instance that is no holder may try the upstream. Instances get their turn in the order of their ranks, twice
   * as many in each further period: so an instance deep in the order waits some periods, not hundreds.
   */
  private mayTry(
    {current: {share, liveCount}, triedAt}: SendingState,
    {requestsPerSecond, confirmedAt}: UpstreamLimit,
  ): boolean {
    if (share.rank === undefined) {
      return false;
    }
    const period = Math.min(
      Math.max(1_000 / requestsPerSecond, MIN_TRIAL_PERIOD_MILLISECONDS),
      MAX_TRIAL_PERIOD_MILLISECONDS,
    );
    const turn = 1 + Math.log2(share.rank - share.holderCount + 1);
    const now = this.now();
    return (
      now - confirmedAt >= turn * period && now - triedAt >= liveCount * period
    );
  }

  /** Refills the bucket and computes the share again if it is outdated. */
  private updateState(upstream: Upstream, limit: UpstreamLimit): SendingState {
    const known = this.states.get(upstream.id);
    const now = this.now();
    if (known === undefined) {
      const state = this.createState(upstream, limit);
      this.states.set(upstream.id, state);
      return state;
    }
    const {current, bucket} = known;
    const isHolding = isHolder(current.share);
    bucket.refill(now, isHolding ? current.share.requestsPerSecond : 0);
    const isOutdated =
      now - current.computedAt >= SHARE_LIFETIME_MILLISECONDS ||
      current.requestsPerSecond !== limit.requestsPerSecond;
    if (!isOutdated) {
      return known;
    }
    const state = {...known, current: this.computeShare(upstream, limit)};
    this.states.set(upstream.id, state);
    return state;
  }

  private createState(upstream: Upstream, limit: UpstreamLimit): SendingState {
    // A random part of a token: instances that become holders at the same moment do not send at once.
    const tokens = this.random.next();
    return {
      current: this.computeShare(upstream, limit),
      bucket: new TokenBucket(BURST, tokens, this.now()),
      triedAt: -Infinity,
    };
  }

  private computeShare(
    upstream: Upstream,
    {requestsPerSecond}: UpstreamLimit,
  ): CurrentShare {
    const sharers = this.sharers();
    return {
      share: shareLimit(requestsPerSecond, upstream, sharers),
      requestsPerSecond,
      liveCount: sharers.live.length,
      computedAt: this.now(),
    };
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}

function isHolder({rank, holderCount}: LimitShare): boolean {
  return rank !== undefined && rank < holderCount;
}
