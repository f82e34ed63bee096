/** Usual time between two events before any was seen. */
const FIRST_GAP_MILLISECONDS = 35;

/** Weight of the newest gap in the running mean. */
const GAP_WEIGHT = 0.15;

/** Measures the pauses of one stream, over all of its runs. */
export class PauseMeter {
  private progressAt: number;
  private gap = FIRST_GAP_MILLISECONDS;
  private longest = 0;
  private count = 0;

  constructor(now: number) {
    this.progressAt = now;
  }

  /** Notes events that came together. */
  noteEvents(now: number, events: number): void {
    if (this.count > 0) {
      const gap = now - this.progressAt;
      this.longest = Math.max(this.longest, gap);
      this.gap += GAP_WEIGHT * (gap - this.gap);
    }
    this.progressAt = now;
    this.count += events;
  }

  /** Milliseconds since the last event, or since the beginning before any. */
  silence(now: number): number {
    return now - this.progressAt;
  }

  /** When the last event came. */
  get lastProgressAt(): number {
    return this.progressAt;
  }

  get usualGap(): number {
    return this.gap;
  }

  get longestPause(): number {
    return this.longest;
  }

  get events(): number {
    return this.count;
  }
}
