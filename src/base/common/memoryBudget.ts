import {Disposable} from './lifecycle.js';

/** Accounts the memory that a process holds for others, such as bodies that are being received. */

/** Holds up to this size may take more than the limit, so that large ones do not keep small ones out. */
const SMALL_HOLD_BYTES = 16 * 1_024;

/** Share of the limit that small holds may take beyond it. */
const RESERVED_SHARE = 0.25;

/** Why work ends whose hold was given up. */
export const MEMORY_SPENT = 'memory for received bytes is spent';

/** Memory held for one sender or reader. Disposing releases it. */
export abstract class MemoryHold implements Disposable {
  /** From now on the hold is not given up, since the work that needs it can no longer be refused. */
  abstract keep(): void;
  /** Sets how many bytes are held; returns false if the hold was released, also by this call because the budget is spent. */
  abstract resize(bytes: number): boolean;
  abstract dispose(): void;
}

/**
 * Limits the memory that all its holds take together. When it is spent, the largest holds are given up: a sender without end, or a
 * reader that does not read, soon holds the most.
 */
export class MemoryBudget {
  private readonly holds = new Set<BudgetedHold>();
  private used = 0;

  constructor(readonly limitBytes: number) {}

  /** Bytes that all holds take. */
  get usedBytes(): number {
    return this.used;
  }

  /**
   * Begins to hold memory.
   * @param giveUp ends the work that needs the memory; called at most once, soon after the hold was released
   */
  hold(giveUp: () => void): MemoryHold {
    return new BudgetedHold(giveUp, this.ledger);
  }

  private readonly ledger: HoldLedger = {
    resize: (hold, bytes) => this.resize(hold, bytes),
    remove: hold => this.remove(hold),
  };

  private resize(hold: BudgetedHold, bytes: number): void {
    this.used += bytes - hold.bytes;
    hold.bytes = bytes;
    this.holds.add(hold);
    while (this.used > this.limitBytes) {
      const largest = this.findLargest();
      if (largest === undefined || this.isInReserve(largest)) {
        return;
      }
      largest.giveUp();
    }
  }

  private remove(hold: BudgetedHold): void {
    if (this.holds.delete(hold)) {
      this.used -= hold.bytes;
    }
  }

  private isInReserve({bytes}: BudgetedHold): boolean {
    return (
      bytes <= SMALL_HOLD_BYTES &&
      this.used <= this.limitBytes * (1 + RESERVED_SHARE)
    );
  }

  private findLargest(): BudgetedHold | undefined {
    let largest: BudgetedHold | undefined;
    for (const hold of this.holds) {
      if (!hold.isKept && hold.bytes > (largest?.bytes ?? 0)) {
        largest = hold;
      }
    }
    return largest;
  }
}

interface HoldLedger {
  resize(hold: BudgetedHold, bytes: number): void;
  remove(hold: BudgetedHold): void;
}

class BudgetedHold extends MemoryHold {
  bytes = 0;
  isKept = false;
  private isReleased = false;

  constructor(
    private readonly onGiveUp: () => void,
    private readonly ledger: HoldLedger,
  ) {
    super();
  }

  override resize(bytes: number): boolean {
    if (!this.isReleased && bytes !== this.bytes) {
      this.ledger.resize(this, bytes);
    }
    return !this.isReleased;
  }

  override keep(): void {
    this.isKept = true;
  }

  override dispose(): void {
    if (!this.isReleased) {
      this.isReleased = true;
      this.ledger.remove(this);
    }
  }

  giveUp(): void {
    this.dispose();
    // Later, since the budget may be spent in the middle of other work.
    queueMicrotask(this.onGiveUp);
  }
}

/** Accounts nothing, for what is received only on request and in known size. */
export const unaccountedHold: MemoryHold = {
  keep: () => undefined,
  resize: () => true,
  dispose: () => undefined,
};
