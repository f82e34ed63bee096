import {LruMap} from './lruMap.js';
import {MovingStatistics} from './movingStatistics.js';

const MINIMUM_SAMPLES = 8;
const DEVIATION_FACTOR = 1;

/** Estimates reply lengths per class and client account from completed replies; memory is bounded. */
export class ReplyLengthEstimator {
  private readonly byAccount: LruMap<string, MovingStatistics>;
  private readonly byClass: LruMap<string, MovingStatistics>;

  constructor(trackedAccounts = 8192, trackedClasses = 256) {
    this.byAccount = new LruMap(trackedAccounts);
    this.byClass = new LruMap(trackedClasses);
  }

  /** Adds the length of a completed reply, in tokens. */
  observe(classOfWork: string, clientAccount: string, tokens: number): void {
    const key = accountKey(classOfWork, clientAccount);
    this.byAccount
      .getOrCreate(key, () => new MovingStatistics())
      .observe(tokens);
    this.byClass
      .getOrCreate(classOfWork, () => new MovingStatistics())
      .observe(tokens);
  }

  /** The expected number of output tokens, biased upwards; `maximum` until there are enough samples. */
  estimate(
    classOfWork: string,
    clientAccount: string,
    maximum: number,
  ): number {
    const account = this.byAccount.get(accountKey(classOfWork, clientAccount));
    const lengths =
      ifSufficient(account) ?? ifSufficient(this.byClass.get(classOfWork));
    if (lengths === undefined) {
      return maximum;
    }
    const expected = Math.ceil(
      lengths.mean + DEVIATION_FACTOR * lengths.meanDeviation,
    );
    return Math.max(1, Math.min(maximum, expected));
  }
}

function accountKey(classOfWork: string, clientAccount: string): string {
  return JSON.stringify([classOfWork, clientAccount]);
}

function ifSufficient(
  lengths: MovingStatistics | undefined,
): MovingStatistics | undefined {
  return lengths && lengths.sampleCount >= MINIMUM_SAMPLES
    ? lengths
    : undefined;
}
