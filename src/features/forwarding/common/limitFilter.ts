import {Upstream} from '../../fleet/common/upstream.js';
import {UpstreamRateLimiter} from '../../fleet/common/upstreamRateLimiter.js';

/** When a request that was refused because of limits could be sent. */
export interface LimitedWait {
  /** Milliseconds until this instance may send it; Infinity if other instances use the limits. */
  readonly ownMilliseconds: number;
  /** Milliseconds until some instance may send it. */
  readonly anyMilliseconds: number;
}

/** Filters the candidates of one choice by their limits, and tells whether only limits left none. */
export class LimitFilter {
  private readonly passedOver: Upstream[] = [];
  private hasAccepted = false;

  constructor(private readonly rateLimiter: UpstreamRateLimiter) {}

  /** Whether a usable candidate may get a request now. */
  accepts(upstream: Upstream): boolean {
    const isAccepted = this.rateLimiter.canSend(upstream);
    if (isAccepted) {
      this.hasAccepted = true;
    } else {
      this.passedOver.push(upstream);
    }
    return isAccepted;
  }

  /** The wait if every usable candidate was passed over for its limit; undefined otherwise. */
  get wait(): LimitedWait | undefined {
    if (this.hasAccepted || this.passedOver.length === 0) {
      return undefined;
    }
    const {passedOver, rateLimiter} = this;
    const own = passedOver.map(upstream =>
      rateLimiter.millisecondsUntilPermit(upstream),
    );
    const slots = passedOver.map(upstream =>
      rateLimiter.millisecondsPerRequest(upstream),
    );
    return {
      ownMilliseconds: Math.min(...own),
      anyMilliseconds: Math.min(...own, ...slots),
    };
  }
}
