const WINDOW_SIZE = 200;
const MINIMUM_SAMPLES = 20;
const SAMPLES_PER_UPDATE = 10;
const QUANTILE = 0.95;

/** The 95th percentile of the latency of the latest successful calls, in milliseconds. */
export class LatencyWindow {
  private readonly samples: number[] = [];
  private nextIndex = 0;
  private samplesSinceUpdate = 0;
  private current: number | undefined;

  add(milliseconds: number): void {
    this.samples[this.nextIndex] = milliseconds;
    this.nextIndex = (this.nextIndex + 1) % WINDOW_SIZE;
    this.samplesSinceUpdate++;
    if (this.samplesSinceUpdate >= SAMPLES_PER_UPDATE) {
      this.recalculate();
    }
  }

  /** Undefined until there are enough samples. */
  get percentile95(): number | undefined {
    return this.current;
  }

  private recalculate(): void {
    this.samplesSinceUpdate = 0;
    if (this.samples.length < MINIMUM_SAMPLES) {
      return;
    }
    const sorted = [...this.samples].sort((left, right) => left - right);
    this.current = sorted[Math.ceil(sorted.length * QUANTILE) - 1];
  }
}
