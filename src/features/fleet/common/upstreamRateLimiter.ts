import {Clock} from '../../../base/common/clock.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {LimitShare, LimitSharers, shareLimit} from './limitShare.js';
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

/** What this instance has sent to a limited upstream. */
interface SendingState {
  share: LimitShare;
  sharedAt: number;
  /** The limit that the share was computed from. */
  requestsPerSecond: number;
  liveCount: number;
  tokens: number;
  refilledAt: number;
  trialAt: number;
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
    const state = this.stateOf(upstream, limit);
    if (isHolder(state.share)) {
      state.tokens--;
    } else {
      state.trialAt = this.now();
    }
  }

  /** Milliseconds until this instance may send to an upstream; 0 if it may now, Infinity while others use its limit. */
  millisecondsUntilPermit(upstream: Upstream): number {
    const limit = this.limits.limitOf(upstream.id);
    if (limit === undefined) {
      return 0;
    }
    const state = this.stateOf(upstream, limit);
    if (!isHolder(state.share)) {
      return this.mayTry(state, limit) ? 0 : Infinity;
    }
    const missing = Math.max(0, 1 - state.tokens);
    return (missing / state.share.requestsPerSecond) * 1_000;
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
    {share, liveCount, trialAt}: SendingState,
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
      now - confirmedAt >= turn * period && now - trialAt >= liveCount * period
    );
  }

  private stateOf(upstream: Upstream, limit: UpstreamLimit): SendingState {
    const now = this.now();
    let state = this.states.get(upstream.id);
    if (state === undefined) {
      state = {
        ...this.computeShare(upstream, limit),
        // A random part of a token: instances that become holders at the same moment do not send at once.
        tokens: this.random.next(),
        refilledAt: now,
        trialAt: -Infinity,
      };
      this.states.set(upstream.id, state);
    }
    refill(state, now);
    const isStale =
      now - state.sharedAt >= SHARE_LIFETIME_MILLISECONDS ||
      state.requestsPerSecond !== limit.requestsPerSecond;
    if (isStale) {
      Object.assign(state, this.computeShare(upstream, limit));
    }
    return state;
  }

  private computeShare(
    upstream: Upstream,
    {requestsPerSecond}: UpstreamLimit,
  ): Pick<
    SendingState,
    'share' | 'sharedAt' | 'requestsPerSecond' | 'liveCount'
  > {
    const sharers = this.sharers();
    return {
      share: shareLimit(requestsPerSecond, upstream, sharers),
      sharedAt: this.now(),
      requestsPerSecond,
      liveCount: sharers.live.length,
    };
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}

function isHolder({rank, holderCount}: LimitShare): boolean {
  return rank !== undefined && rank < holderCount;
}

/** Adds the tokens of the time since the last refill; an instance that is no holder gets none. */
function refill(state: SendingState, now: number): void {
  const elapsedSeconds = (now - state.refilledAt) / 1_000;
  const rate = isHolder(state.share) ? state.share.requestsPerSecond : 0;
  state.tokens = Math.min(BURST, state.tokens + elapsedSeconds * rate);
  state.refilledAt = now;
}
