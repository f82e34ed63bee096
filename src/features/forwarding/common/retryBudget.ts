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
const USED_SHARE = 0.7;

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
  take(service: string): boolean {
    const counts = this.countsOf(service);
    if (this.leftFor(counts) < 1) {
      return false;
    }
    counts.repeats.add(this.now());
    return true;
  }

  /** Repeats that are left to this instance for a service. */
  left(service: string): number {
    return this.leftFor(this.countsOf(service));
  }

  private leftFor({requests, repeats}: ServiceCounts): number {
    const {ratio, slack, windowMilliseconds} = this.settings;
    const from = this.now() - windowMilliseconds;
    const share = slack / Math.max(1, this.instanceCount());
    const allowance = (ratio * requests.since(from) + share) * USED_SHARE;
    return allowance - repeats.since(from);
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
