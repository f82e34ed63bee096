import {ShareView} from './routing.js';

/** Milliseconds in which recorded use falls to 1/e. */
export const SHARE_TIME_CONSTANT_MILLISECONDS = 20000;
const MAXIMUM_ENTRIES = 4096;
/** Slot-milliseconds below which a sum is dropped. */
const SMALLEST_KEPT = 0.5;
/** Requests below which a count is dropped. */
const SMALLEST_COUNT = 0.001;
/** Milliseconds between two rounds of decay; what is added in between counts as added at the round. */
const DECAY_INTERVAL_MILLISECONDS = 50;

/** The key of an account within a class. */
export function shareKey(classOfWork: string, clientAccount: string): string {
  return `${classOfWork}/${clientAccount}`;
}

/** A map of sums that decay exponentially; bounded, small sums are dropped. */
class DecayingSums {
  private readonly sums = new Map<string, number>();

  constructor(private readonly smallestKept = SMALLEST_KEPT) {}

  get(key: string): number {
    return this.sums.get(key) ?? 0;
  }

  add(key: string, amount: number): void {
    this.sums.set(key, this.get(key) + amount);
    if (this.sums.size > MAXIMUM_ENTRIES) {
      this.dropSmallest();
    }
  }

  decay(factor: number): void {
    for (const [key, sum] of this.sums) {
      if (sum * factor < this.smallestKept) {
        this.sums.delete(key);
      } else {
        this.sums.set(key, sum * factor);
      }
    }
  }

  copy(): ReadonlyMap<string, number> {
    return new Map(this.sums);
  }

  /** Drops the smaller quarter, so that the work of a drop is spread over many additions. */
  private dropSmallest(): void {
    const ascending = [...this.sums].sort((a, b) => a[1] - b[1]);
    for (const [key] of ascending.slice(0, MAXIMUM_ENTRIES / 4)) {
      this.sums.delete(key);
    }
  }
}

/** Decayed accounting of slot time by class and client account at one owner of a cell. */
export class ShareAccounts {
  private readonly used = new DecayingSums();
  private readonly usedByClass = new DecayingSums();
  private readonly wanted = new DecayingSums();
  private readonly wantedByClass = new DecayingSums();
  private readonly requestsByClass = new DecayingSums(SMALLEST_COUNT);
  private decayedAt: number | undefined;

  /**
   * Records slot-milliseconds asked for, once for each request whether granted or not. A later
   * correction of the amount passes 0 requests.
   */
  recordWant(
    classOfWork: string,
    clientAccount: string,
    slotMilliseconds: number,
    now: number,
    requests = 1,
  ): void {
    this.decayTo(now);
    this.wanted.add(shareKey(classOfWork, clientAccount), slotMilliseconds);
    this.wantedByClass.add(classOfWork, slotMilliseconds);
    this.requestsByClass.add(classOfWork, requests);
  }

  /** Records slot-milliseconds granted; negative to return what was not used. */
  recordUse(
    classOfWork: string,
    clientAccount: string,
    slotMilliseconds: number,
    now: number,
  ): void {
    this.decayTo(now);
    this.used.add(shareKey(classOfWork, clientAccount), slotMilliseconds);
    this.usedByClass.add(classOfWork, slotMilliseconds);
  }

  /** An immutable view as of `now`. */
  view(targetByClass: ReadonlyMap<string, number>, now: number): ShareView {
    this.decayTo(now);
    return {
      usedByAccount: this.used.copy(),
      usedByClass: this.usedByClass.copy(),
      wantedByAccount: this.wanted.copy(),
      targetByClass,
      workByClass: this.workByClass(),
    };
  }

  /** Mean slot time of a request by class; the decay cancels out. */
  private workByClass(): ReadonlyMap<string, number> {
    const means = new Map<string, number>();
    for (const [name, requests] of this.requestsByClass.copy()) {
      means.set(name, this.wantedByClass.get(name) / requests);
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
    this.used.decay(factor);
    this.usedByClass.decay(factor);
    this.wanted.decay(factor);
    this.wantedByClass.decay(factor);
    this.requestsByClass.decay(factor);
  }
}
