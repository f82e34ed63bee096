import {Clock} from '../../../base/common/clock.js';

/**
 * Time constant of the decay of outcomes: an upstream that fails part of its requests is detected within a
 * second or two.
 */
const DECAY_MILLISECONDS = 4_000;

/** Successes assumed before the first call, so that a single failure has little weight. */
const PRIOR_SUCCESSES = 3;

interface DecayingCounts {
  readonly at: number;
  readonly successes: number;
  readonly failures: number;
}

/** Tracks the recent failure rate of the calls to each upstream. */
export class OutcomeHistory {
  private readonly counts = new Map<string, DecayingCounts>();

  constructor(private readonly clock: Clock) {}

  record(upstream: string, isSuccess: boolean): void {
    const current = this.decayedCounts(upstream);
    this.counts.set(upstream, {
      at: current.at,
      successes: current.successes + (isSuccess ? 1 : 0),
      failures: current.failures + (isSuccess ? 0 : 1),
    });
  }

  /** Between 0 and 1. */
  failureRate(upstream: string): number {
    const {successes, failures} = this.decayedCounts(upstream);
    return failures / (successes + failures + PRIOR_SUCCESSES);
  }

  /** Removes the upstreams that the predicate rejects. */
  retain(isKept: (upstream: string) => boolean): void {
    for (const upstream of this.counts.keys()) {
      if (!isKept(upstream)) {
        this.counts.delete(upstream);
      }
    }
  }

  private decayedCounts(upstream: string): DecayingCounts {
    const at = this.clock.monotonicMilliseconds();
    const stored = this.counts.get(upstream);
    if (stored === undefined) {
      return {at, successes: 0, failures: 0};
    }
    const factor = Math.exp((stored.at - at) / DECAY_MILLISECONDS);
    return {
      at,
      successes: stored.successes * factor,
      failures: stored.failures * factor,
    };
  }
}
