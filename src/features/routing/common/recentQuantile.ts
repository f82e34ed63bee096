/** Quantile over a sliding window of the last `capacity` values. */
export class RecentQuantile {
  private readonly values: number[] = [];
  private nextIndex = 0;
  private cached: {quantile: number; value: number} | undefined;

  constructor(private readonly capacity: number) {}

  /** Number of values in the window. */
  get size(): number {
    return this.values.length;
  }

  /** Adds a value; replaces the oldest one if the window is full. */
  add(value: number): void {
    this.values[this.nextIndex] = value;
    this.nextIndex = (this.nextIndex + 1) % this.capacity;
    this.cached = undefined;
  }

  /** The nearest-rank quantile (0 to 1) of the values; undefined if there are none. */
  quantile(quantile: number): number | undefined {
    if (this.values.length === 0) {
      return undefined;
    }
    if (this.cached?.quantile !== quantile) {
      const sorted = [...this.values].sort((a, b) => a - b);
      const rank = Math.ceil(quantile * sorted.length) - 1;
      this.cached = {quantile, value: sorted[Math.max(0, rank)]!};
    }
    return this.cached.value;
  }
}
