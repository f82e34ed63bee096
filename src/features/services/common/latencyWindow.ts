const WINDOW = 200;
const MINIMUM_SAMPLES = 20;
const SAMPLES_PER_UPDATE = 10;
const QUANTILE = 0.95;

/** The 95th percentile of the last successful calls, in milliseconds. */
export class LatencyWindow {
  private readonly samples: number[] = [];
  private next = 0;
  private sinceUpdate = 0;
  private current: number | undefined;

  add(milliseconds: number): void {
    this.samples[this.next] = milliseconds;
    this.next = (this.next + 1) % WINDOW;
    this.sinceUpdate++;
    if (this.sinceUpdate >= SAMPLES_PER_UPDATE) {
      this.update();
    }
  }

  /** Undefined until enough calls were seen. */
  get percentile95(): number | undefined {
    return this.current;
  }

  private update(): void {
    this.sinceUpdate = 0;
    if (this.samples.length < MINIMUM_SAMPLES) {
      return;
    }
    const sorted = [...this.samples].sort((left, right) => left - right);
    this.current = sorted[Math.ceil(sorted.length * QUANTILE) - 1];
  }
}
