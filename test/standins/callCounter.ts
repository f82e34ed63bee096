/** Calls of one kind, in all and by the second. */
export interface CallCounts {
  readonly total: number;
  readonly peakPerSecond: number;
  /** Refused by the rate limit, not part of the total. */
  readonly refused: number;
}

/** Counts calls in windows of one second and holds them to a limit. */
export class CallCounter {
  private total = 0;
  private peak = 0;
  private refused = 0;
  private windowStart = 0;
  private inWindow = 0;

  constructor(private readonly limitPerSecond: number) {}

  /** Counts a call; false when the limit of this second is reached. */
  admit(now: number): boolean {
    const start = Math.floor(now / 1000);
    if (start !== this.windowStart) {
      this.windowStart = start;
      this.inWindow = 0;
    }
    if (this.inWindow >= this.limitPerSecond) {
      this.refused++;
      return false;
    }
    this.inWindow++;
    this.total++;
    this.peak = Math.max(this.peak, this.inWindow);
    return true;
  }

  get counts(): CallCounts {
    const {total, peak, refused} = this;
    return {total, peakPerSecond: peak, refused};
  }

  reset(): void {
    this.total = 0;
    this.peak = 0;
    this.refused = 0;
  }
}
