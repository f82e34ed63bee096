import {Clock} from '../../../base/common/clock.js';

/** Bounds on sending requests a second time, kept without asking other instances. */

/** Bounds that all instances together must keep. */
export interface RetryBudgetSettings {
  /** Repeats per request. */
  readonly ratio: number;
  /** Repeats beyond the ratio in one window, over all instances. */
  readonly slack: number;
  readonly windowMilliseconds: number;
}

/**
 * Part of an instance's share that is used: windows of the instances do not begin together, and an
 * instance that was restarted does not know what it sent before.
 */
const USED_SHARE = 0.85;

/** What a repeat is for. */
export type RepeatNeed =
  /** A stream whose caller has events already: all of them are lost without it. */
  | 'begun'
  /** A request that was refused, failed or is only slow: its caller can come back. */
  | 'first';

/** Part of the allowance that is kept for streams that have begun. */
const KEPT_SHARE = 0.3;

/** Events of one window. */
class SlidingCount {
  private readonly moments: number[] = [];
  private start = 0;

  add(now: number): void {
    this.moments.push(now);
  }

  /** Events since a moment. */
  since(from: number): number {
    while (
      this.start < this.moments.length &&
      this.moments[this.start]! < from
    ) {
      this.start++;
    }
    if (this.start > 1024) {
      this.moments.splice(0, this.start);
      this.start = 0;
    }
    return this.moments.length - this.start;
  }
}

/** Counts of one service. */
interface ServiceCounts {
  readonly requests: SlidingCount;
  readonly repeats: SlidingCount;
}

/** The budget of one instance: the ratio of its own requests and an equal share of the slack. */
export class RetryBudget {
  private readonly services = new Map<string, ServiceCounts>();

  constructor(
    private readonly clock: Clock,
    private readonly settings: RetryBudgetSettings,
    /** Instances that share the slack. */
    private readonly instanceCount: () => number,
  ) {}

  /** A request of a caller came for a service. */
  noteRequest(service: string): void {
    this.countsOf(service).requests.add(this.now());
  }

  /** Takes one repeat from the budget; false when there is none left. */
  take(service: string, need: RepeatNeed): boolean {
    const counts = this.countsOf(service);
    const allowance = this.allowanceFor(counts);
    const kept = need === 'begun' ? 0 : allowance * KEPT_SHARE;
    if (allowance - kept - this.usedOf(counts) < 1) {
      return false;
    }
    counts.repeats.add(this.now());
    return true;
  }

  private allowanceFor({requests}: ServiceCounts): number {
    const {ratio, slack} = this.settings;
    const share = slack / Math.max(1, this.instanceCount());
    return (ratio * requests.since(this.windowStart) + share) * USED_SHARE;
  }

  private usedOf({repeats}: ServiceCounts): number {
    return repeats.since(this.windowStart);
  }

  private get windowStart(): number {
    return this.now() - this.settings.windowMilliseconds;
  }

  private countsOf(service: string): ServiceCounts {
    const counts = this.services.get(service) ?? {
      requests: new SlidingCount(),
      repeats: new SlidingCount(),
    };
    this.services.set(service, counts);
    return counts;
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}
