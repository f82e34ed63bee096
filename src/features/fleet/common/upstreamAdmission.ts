import {Upstream} from './upstream.js';
import {UpstreamRateLimiter} from './upstreamRateLimiter.js';
import {UpstreamRests} from './upstreamRests.js';

/**
 * Tells whether this instance may send a request to an upstream now, and if not, when: the one place for what upstreams ask
 * of instances. Whether an upstream is sound is another question.
 */
export class UpstreamAdmission {
  constructor(
    private readonly rateLimiter: UpstreamRateLimiter,
    private readonly rests: UpstreamRests,
  ) {}

  /** Whether a request may be sent to an upstream now. */
  canSend(upstream: Upstream): boolean {
    return this.millisecondsUntilPermit(upstream) === 0;
  }

  /** Counts a request that is sent to an upstream: first sends, repeats and resumed streams alike. */
  recordSend(upstream: Upstream): void {
    this.rateLimiter.recordSend(upstream);
  }

  /** Milliseconds until this instance may send to an upstream; 0 if it may now, Infinity while others use its limit. */
  millisecondsUntilPermit(upstream: Upstream): number {
    return Math.max(
      this.rateLimiter.millisecondsUntilPermit(upstream),
      this.rests.millisecondsUntilPermit(upstream.id),
    );
  }

  /** Milliseconds until some instance may send to an upstream, as far as this one knows. */
  millisecondsUntilAnyPermit(upstream: Upstream): number {
    return Math.max(
      this.rateLimiter.millisecondsPerRequest(upstream),
      this.rests.millisecondsUntilPermit(upstream.id),
    );
  }
}
