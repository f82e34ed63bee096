import {RandomSource} from '../../../base/common/randomSource.js';

const SHARE_OF_SUCCESSES = 0.2;
const TIME_CONSTANT_MILLISECONDS = 10000;
/** Retries granted to a class and upstream that has no history. */
const INITIAL_RETRIES = 3;
/** Most retries saved up. */
const MAXIMUM_SAVED = 50;
const MAXIMUM_ENTRIES = 4096;
const FIRST_BACKOFF_MILLISECONDS = 20;
const LARGEST_BACKOFF_MILLISECONDS = 2000;

interface Balance {
  readonly retries: number;
  readonly at: number;
}

/** Limits retries to a share of recent successes for each class and upstream, so that an outage causes no storm. */
export class RetryBudget {
  private readonly balances = new Map<string, Balance>();

  /** Earns a part of a retry. */
  recordSuccess(classOfWork: string, upstream: string, now: number): void {
    const retries = this.available(classOfWork, upstream, now);
    const earned = Math.min(MAXIMUM_SAVED, retries + SHARE_OF_SUCCESSES);
    this.keep(classOfWork, upstream, earned, now);
  }

  /** Takes one retry from the budget of the upstream that failed; false if it is spent. */
  trySpend(classOfWork: string, upstream: string, now: number): boolean {
    const retries = this.available(classOfWork, upstream, now);
    if (retries < 1) {
      return false;
    }
    this.keep(classOfWork, upstream, retries - 1, now);
    return true;
  }

  /** Full jitter: a random wait up to a bound that doubles with each attempt, the first being 1. */
  backoffMilliseconds(attempt: number, random: RandomSource): number {
    const doubled = FIRST_BACKOFF_MILLISECONDS * 2 ** (attempt - 1);
    return random.next() * Math.min(LARGEST_BACKOFF_MILLISECONDS, doubled);
  }

  /** Savings above the initial grant decay, so that only recent successes count; a spent budget stays spent. */
  private available(
    classOfWork: string,
    upstream: string,
    now: number,
  ): number {
    const balance = this.balances.get(`${classOfWork}/${upstream}`);
    if (balance === undefined) {
      return INITIAL_RETRIES;
    }
    const saved = Math.max(0, balance.retries - INITIAL_RETRIES);
    const decay = Math.exp(-(now - balance.at) / TIME_CONSTANT_MILLISECONDS);
    return balance.retries - saved * (1 - decay);
  }

  private keep(
    classOfWork: string,
    upstream: string,
    retries: number,
    now: number,
  ): void {
    const key = `${classOfWork}/${upstream}`;
    this.balances.delete(key);
    this.balances.set(key, {retries, at: now});
    if (this.balances.size <= MAXIMUM_ENTRIES) {
      return;
    }
    const [oldest] = this.balances.keys();
    this.balances.delete(oldest!);
  }
}
