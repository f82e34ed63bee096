import {Clock} from '../../../base/common/clock.js';

/** Limits retries without coordination between instances. */

/** Limits that all instances together must keep. */
export interface RetryBudgetSettings {
  /** Retries per request. */
  readonly ratio: number;
  /** Retries beyond the ratio in one window, summed over all instances. */
  readonly slack: number;
  readonly windowMilliseconds: number;
}

/**
 * Share of an instance's allowance that it uses. The windows of the instances do not start together, and a
 * restarted instance does not know its earlier retries.
 */
const USABLE_SHARE = 0.85;

/** The purpose of a retry. */
export type RetryPurpose =
  /** To continue a stream whose caller has received events, all of which are lost without the retry. */
  | 'begun'
  /** To repeat a request that was refused, failed or is only slow; its caller can retry it. */
  | 'first';

/** Share of the allowance that is reserved for streams that have begun. */
const RESERVED_SHARE = 0.3;

/** Counts events in a sliding window. */
class SlidingWindowCounter {
  private readonly timestamps: number[] = [];
  private firstIndex = 0;

  add(now: number): void {
    this.timestamps.push(now);
  }

  /** Number of events at or after a time, which must not decrease between calls. */
  since(from: number): number {
    while (
      this.firstIndex < this.timestamps.length &&
      this.timestamps[this.firstIndex]! < from
    ) {
      this.firstIndex++;
    }
    if (this.firstIndex > 1024) {
      this.timestamps.splice(0, this.firstIndex);
      this.firstIndex = 0;
    }
    return this.timestamps.length - this.firstIndex;
  }
}

interface ServiceCounters {
  readonly requests: SlidingWindowCounter;
  readonly retries: SlidingWindowCounter;
}

/** The retry budget of one instance: the ratio of its own requests plus an equal share of the slack. */
export class RetryBudget {
  private readonly services = new Map<string, ServiceCounters>();

  constructor(
    private readonly clock: Clock,
    private readonly settings: RetryBudgetSettings,
    /** Number of instances that share the slack. */
    private readonly instanceCount: () => number,
  ) {}

  /** Counts a caller's request to a service. */
  recordRequest(service: string): void {
    this.countersFor(service).requests.add(this.now());
  }

  /** Takes one retry from the budget; returns false if none is left. */
  tryTake(service: string, purpose: RetryPurpose): boolean {
    const counters = this.countersFor(service);
    const allowance = this.allowanceFor(counters);
    const reserved = purpose === 'begun' ? 0 : allowance * RESERVED_SHARE;
    if (allowance - reserved - this.retriesInWindow(counters) < 1) {
      return false;
    }
    counters.retries.add(this.now());
    return true;
  }

  private allowanceFor({requests}: ServiceCounters): number {
    const {ratio, slack} = this.settings;
    const share = slack / Math.max(1, this.instanceCount());
    return (ratio * requests.since(this.windowStart) + share) * USABLE_SHARE;
  }

  private retriesInWindow({retries}: ServiceCounters): number {
    return retries.since(this.windowStart);
  }

  private get windowStart(): number {
    return this.now() - this.settings.windowMilliseconds;
  }

  private countersFor(service: string): ServiceCounters {
    const counters = this.services.get(service) ?? {
      requests: new SlidingWindowCounter(),
      retries: new SlidingWindowCounter(),
    };
    this.services.set(service, counters);
    return counters;
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}
