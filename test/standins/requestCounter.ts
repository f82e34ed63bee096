/** Counts of the requests of one kind. */
export interface RequestCounts {
  readonly total: number;
  readonly peakPerSecond: number;
  /** Requests refused by the rate limit; not included in the total. */
  readonly refused: number;
}

/** Counts requests in windows of one second and enforces a rate limit. */
export class RequestCounter {
  private total = 0;
  private peak = 0;
  private refused = 0;
  private windowStart = 0;
  private windowCount = 0;

  constructor(private readonly limitPerSecond: number) {}

  /** Counts a request at `now` (milliseconds); returns false when the limit of this second is reached. */
  admit(now: number): boolean {
    const start = Math.floor(now / 1000);
    if (start !== this.windowStart) {
      this.windowStart = start;
      this.windowCount = 0;
    }
    if (this.windowCount >= this.limitPerSecond) {
      this.refused++;
      return false;
    }
    this.windowCount++;
    this.total++;
    this.peak = Math.max(this.peak, this.windowCount);
    return true;
  }

  get counts(): RequestCounts {
    const {total, peak, refused} = this;
    return {total, peakPerSecond: peak, refused};
  }

  reset(): void {
    this.total = 0;
    this.peak = 0;
    this.refused = 0;
  }
}
