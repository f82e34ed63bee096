import {RecentQuantile} from './recentQuantile.js';
import {shareKey} from './shareAccounts.js';

const WINDOW = 64;
const ENOUGH_SAMPLES = 8;
const MAXIMUM_ENTRIES = 2048;

/**
 * Expected output tokens of a request: a quantile of the lengths seen lately from its account in
 * its class, else from its class, else the caller's own maximum, which bounds all of them.
 */
export class OutputLengthEstimator {
  private readonly windows = new Map<string, RecentQuantile>();

  constructor(private readonly quantile = 0.8) {}

  /** Records a finished reply's tokens. */
  record(
    classOfWork: string,
    clientAccount: string,
    outputTokens: number,
  ): void {
    this.add(shareKey(classOfWork, clientAccount), outputTokens);
    this.add(shareKey(classOfWork, ''), outputTokens);
  }

  /** Estimates a reply's tokens. */
  estimate(
    classOfWork: string,
    clientAccount: string,
    maximumOutputTokens: number,
  ): number {
    const seen =
      this.seen(shareKey(classOfWork, clientAccount)) ??
      this.seen(shareKey(classOfWork, '')) ??
      maximumOutputTokens;
    return Math.max(1, Math.min(seen, maximumOutputTokens));
  }

  private seen(key: string): number | undefined {
    const window = this.windows.get(key);
    return window !== undefined && window.size >= ENOUGH_SAMPLES
      ? window.quantile(this.quantile)
      : undefined;
  }

  /** Entries move to the end with each use; the one unused for longest is dropped first. */
  private add(key: string, outputTokens: number): void {
    const window = this.windows.get(key) ?? new RecentQuantile(WINDOW);
    window.add(outputTokens);
    this.windows.delete(key);
    this.windows.set(key, window);
    if (this.windows.size > MAXIMUM_ENTRIES) {
      const [oldest] = this.windows.keys();
      this.windows.delete(oldest!);
    }
  }
}
