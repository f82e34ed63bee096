import {RecentQuantile} from './recentQuantile.js';
import {RetryBudget} from './retryBudget.js';

const WINDOW = 128;
const ENOUGH_SAMPLES = 20;
const HEDGE_QUANTILE = 0.95;
const MAXIMUM_ENTRIES = 1024;

/** Decides when a second copy of idempotent work may be sent; shares the budget of retries. */
export class HedgePolicy {
  private readonly windows = new Map<string, RecentQuantile>();

  constructor(private readonly budget: RetryBudget) {}

  /** Records how long work of a class took to its first answer. */
  record(classOfWork: string, milliseconds: number): void {
    const window = this.windows.get(classOfWork) ?? new RecentQuantile(WINDOW);
    window.add(milliseconds);
    this.windows.set(classOfWork, window);
    if (this.windows.size > MAXIMUM_ENTRIES) {
      const [oldest] = this.windows.keys();
      this.windows.delete(oldest!);
    }
  }

  /** Milliseconds after which to hedge; undefined while too little was seen or work isn't idempotent. */
  hedgeAfterMilliseconds(
    classOfWork: string,
    idempotent: boolean,
  ): number | undefined {
    const window = this.windows.get(classOfWork);
    if (!idempotent || window === undefined || window.size < ENOUGH_SAMPLES) {
      return undefined;
    }
    return window.quantile(HEDGE_QUANTILE);
  }

  /** Whether to hedge now; if so the budget of the slow upstream is charged. */
  tryHedge(
    classOfWork: string,
    upstream: string,
    idempotent: boolean,
    waitedMilliseconds: number,
    now: number,
  ): boolean {
    const after = this.hedgeAfterMilliseconds(classOfWork, idempotent);
    const late = after !== undefined && waitedMilliseconds > after;
    return late && this.budget.trySpend(classOfWork, upstream, now);
  }
}
