import {ShareView} from './routing.js';

/** Milliseconds in which recorded use falls to 1/e. */
export const SHARE_TIME_CONSTANT_MILLISECONDS = 10000;
const MAXIMUM_ENTRIES = 4096;
const SMALLEST_KEPT = 0.5;

/** The key of an account within a class. */
export function shareKey(classOfWork: string, clientAccount: string): string {
  return `${classOfWork}/${clientAccount}`;
}

/** A map of sums that decay exponentially; bounded, small sums are dropped. */
class DecayingSums {
  private readonly sums = new Map<string, number>();

  add(key: string, amount: number): void {
    this.sums.set(key, (this.sums.get(key) ?? 0) + amount);
    if (this.sums.size > MAXIMUM_ENTRIES) {
      this.dropSmallest();
    }
  }

  decay(factor: number): void {
    for (const [key, sum] of this.sums) {
      if (sum * factor < SMALLEST_KEPT) {
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
  private decayedAt: number | undefined;

  /** Records slot-milliseconds asked for, once for each request whether granted or not. */
  recordWant(
    classOfWork: string,
    clientAccount: string,
    slotMilliseconds: number,
    now: number,
  ): void {
    this.decayTo(now);
    this.wanted.add(shareKey(classOfWork, clientAccount), slotMilliseconds);
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
    };
  }

  private decayTo(now: number): void {
    const elapsed = now - (this.decayedAt ?? now);
    if (this.decayedAt !== undefined && elapsed < 50) {
      return;
    }
    this.decayedAt = now;
    const factor = Math.exp(-elapsed / SHARE_TIME_CONSTANT_MILLISECONDS);
    this.used.decay(factor);
    this.usedByClass.decay(factor);
    this.wanted.decay(factor);
  }
}
