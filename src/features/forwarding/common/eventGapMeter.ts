/** Assumed mean time between two events before the first gap is measured. */
const INITIAL_GAP_MILLISECONDS = 35;

/** Weight of the newest gap in the moving average. */
const GAP_WEIGHT = 0.15;

/** Measures the gaps between the events of one stream, across all its attempts. */
export class EventGapMeter {
  private lastAt: number;
  private mean = INITIAL_GAP_MILLISECONDS;
  private longest = 0;
  private count = 0;

  constructor(now: number) {
    this.lastAt = now;
  }

  /** Records events that arrived together. */
  recordEvents(now: number, count: number): void {
    if (this.count > 0) {
      const gap = now - this.lastAt;
      this.longest = Math.max(this.longest, gap);
      this.mean += GAP_WEIGHT * (gap - this.mean);
    }
    this.lastAt = now;
    this.count += count;
  }

  /** Milliseconds since the last event, or since the start before the first event. */
  silence(now: number): number {
    return now - this.lastAt;
  }

  /** Monotonic time in milliseconds of the last event, or of the start before the first event. */
  get lastEventAt(): number {
    return this.lastAt;
  }

  get meanGapMilliseconds(): number {
    return this.mean;
  }

  get longestGapMilliseconds(): number {
    return this.longest;
  }

  get events(): number {
    return this.count;
  }
}
