import {ShareView} from './routing.js';

/** Time in which recorded usage decays to 1/e. */
export const SHARE_TIME_CONSTANT_MILLISECONDS = 20000;
const MAXIMUM_ENTRIES = 4096;
/** Slot time below which a sum is dropped. */
const MINIMUM_SLOT_MILLISECONDS = 0.5;
/** Decayed request count below which it is dropped. */
const MINIMUM_REQUEST_COUNT = 0.001;
/** Time between two decay rounds. Amounts added in between count as added at the earlier round. */
const DECAY_INTERVAL_MILLISECONDS = 50;

/** Key of a client account within a class of work. */
export function accountKey(classOfWork: string, clientAccount: string): string {
  return `${classOfWork}/${clientAccount}`;
}

/** Sums by key that decay exponentially. The map is bounded, and small sums are dropped. */
class DecayingSums {
  private readonly sums = new Map<string, number>();

  constructor(private readonly minimumSum = MINIMUM_SLOT_MILLISECONDS) {}

  get(key: string): number {
    return this.sums.get(key) ?? 0;
  }

  add(key: string, amount: number): void {
    this.sums.set(key, this.get(key) + amount);
    if (this.sums.size > MAXIMUM_ENTRIES) {
      this.evictSmallest();
    }
  }

  decay(factor: number): void {
    for (const [key, sum] of this.sums) {
      if (sum * factor < this.minimumSum) {
        this.sums.delete(key);
      } else {
        this.sums.set(key, sum * factor);
      }
    }
  }

  copy(): ReadonlyMap<string, number> {
    return new Map(this.sums);
  }

  /** Drops the smallest quarter of the sums, so that the cost of sorting is spread over many additions. */
  private evictSmallest(): void {
    const sorted = [...this.sums].sort((a, b) => a[1] - b[1]);
    for (const [key] of sorted.slice(0, MAXIMUM_ENTRIES / 4)) {
      this.sums.delete(key);
    }
  }
}

/** Exponentially decayed accounting of slot time by class and client account at one cell owner. */
export class ShareAccounting {
  private readonly usage = new DecayingSums();
  private readonly usageByClass = new DecayingSums();
  private readonly demand = new DecayingSums();
  private readonly demandByClass = new DecayingSums();
  private readonly requestCountByClass = new DecayingSums(
    MINIMUM_REQUEST_COUNT,
  );
  private decayedAt: number | undefined;

  /**
   * Records slot time demanded, once for each request whether granted or not. A later correction
   * of the amount passes 0 for `requests`.
   */
  addDemand(
    classOfWork: string,
    clientAccount: string,
    slotMilliseconds: number,
    now: number,
    requests = 1,
  ): void {
    this.decayTo(now);
    this.demand.add(accountKey(classOfWork, clientAccount), slotMilliseconds);
    this.demandByClass.add(classOfWork, slotMilliseconds);
    this.requestCountByClass.add(classOfWork, requests);
  }

  /** Records slot time granted; a negative amount returns what was not used. */
  addUsage(
    classOfWork: string,
    clientAccount: string,
    slotMilliseconds: number,
    now: number,
  ): void {
    this.decayTo(now);
    this.usage.add(accountKey(classOfWork, clientAccount), slotMilliseconds);
    this.usageByClass.add(classOfWork, slotMilliseconds);
  }

  /** An immutable view as of `now`. */
  view(targetRateByClass: ReadonlyMap<string, number>, now: number): ShareView {
    this.decayTo(now);
    return {
      usedByAccount: this.usage.copy(),
      usedByClass: this.usageByClass.copy(),
      demandByAccount: this.demand.copy(),
      targetRateByClass,
      workByClass: this.meanWorkByClass(),
    };
  }

  /** Mean slot time of a request by class. Sums and counts decay alike, so the decay cancels out. */
  private meanWorkByClass(): ReadonlyMap<string, number> {
    const means = new Map<string, number>();
    for (const [name, requests] of this.requestCountByClass.copy()) {
      means.set(name, this.demandByClass.get(name) / requests);
    }
    return means;
  }

  private decayTo(now: number): void {
    const elapsed = now - (this.decayedAt ?? now);
    if (this.decayedAt !== undefined && elapsed < DECAY_INTERVAL_MILLISECONDS) {
      return;
    }
    this.decayedAt = now;
    const factor = Math.exp(-elapsed / SHARE_TIME_CONSTANT_MILLISECONDS);
    this.usage.decay(factor);
    this.usageByClass.decay(factor);
    this.demand.decay(factor);
    this.demandByClass.decay(factor);
    this.requestCountByClass.decay(factor);
  }
}
