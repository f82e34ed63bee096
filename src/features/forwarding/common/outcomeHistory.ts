import {Clock} from '../../../base/common/clock.js';

/** Outcomes fade with this time constant: a replica that fails part of its requests shows within a second or two. */
const FADE_MILLISECONDS = 4_000;

/** Counts as if this many good outcomes had been seen, so that one failure says little. */
const PRIOR_OUTCOMES = 3;

interface FadingCounts {
  readonly at: number;
  readonly good: number;
  readonly bad: number;
}

/** The share of calls to each upstream that failed lately. */
export class OutcomeHistory {
  private readonly counts = new Map<string, FadingCounts>();

  constructor(private readonly clock: Clock) {}

  /** Notes how a call ended. */
  note(upstream: string, isGood: boolean): void {
    const faded = this.fadedOf(upstream);
    this.counts.set(upstream, {
      at: faded.at,
      good: faded.good + (isGood ? 1 : 0),
      bad: faded.bad + (isGood ? 0 : 1),
    });
  }

  /** Between 0 and 1. */
  failureShare(upstream: string): number {
    const {good, bad} = this.fadedOf(upstream);
    return bad / (good + bad + PRIOR_OUTCOMES);
  }

  /** Forgets upstreams that are gone. */
  retain(isKept: (upstream: string) => boolean): void {
    for (const upstream of this.counts.keys()) {
      if (!isKept(upstream)) {
        this.counts.delete(upstream);
      }
    }
  }

  private fadedOf(upstream: string): FadingCounts {
    const at = this.clock.monotonicMilliseconds();
    const known = this.counts.get(upstream);
    if (known === undefined) {
      return {at, good: 0, bad: 0};
    }
    const factor = Math.exp((known.at - at) / FADE_MILLISECONDS);
    return {at, good: known.good * factor, bad: known.bad * factor};
  }
}
