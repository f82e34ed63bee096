import {BoundedMap} from './boundedMap.js';
import {MovingSpread} from './movingSpread.js';

const ENOUGH_SAMPLES = 8;
const DEVIATIONS = 1;

/** Learns how long replies are, by class and client account; bounded in memory. */
export class OutputEstimator {
  private readonly byAccount: BoundedMap<string, MovingSpread>;
  private readonly byClass: BoundedMap<string, MovingSpread>;

  constructor(trackedAccounts = 8192, trackedClasses = 256) {
    this.byAccount = new BoundedMap(trackedAccounts);
    this.byClass = new BoundedMap(trackedClasses);
  }

  /** Takes the length of a whole reply, in tokens. */
  observe(classOfWork: string, clientAccount: string, tokens: number): void {
    const key = accountKey(classOfWork, clientAccount);
    this.byAccount.obtain(key, () => new MovingSpread()).observe(tokens);
    this.byClass.obtain(classOfWork, () => new MovingSpread()).observe(tokens);
  }

  /** Expected output tokens, on the high side; the maximum while too little was seen. */
  estimate(
    classOfWork: string,
    clientAccount: string,
    maximum: number,
  ): number {
    const account = this.byAccount.get(accountKey(classOfWork, clientAccount));
    const spread = enough(account) ?? enough(this.byClass.get(classOfWork));
    if (spread === undefined) {
      return maximum;
    }
    const expected = Math.ceil(spread.mean + DEVIATIONS * spread.deviation);
    return Math.max(1, Math.min(maximum, expected));
  }
}

function accountKey(classOfWork: string, clientAccount: string): string {
  return JSON.stringify([classOfWork, clientAccount]);
}

function enough(spread: MovingSpread | undefined): MovingSpread | undefined {
  return spread && spread.samples >= ENOUGH_SAMPLES ? spread : undefined;
}
