/** A quantile over a bounded window of recent values. */
export class RecentQuantile {
  private readonly values: number[] = [];
  private nextIndex = 0;
  private cached: {quantile: number; value: number} | undefined;

  constructor(private readonly capacity: number) {}

  /** Values held. */
  get size(): number {
    return this.values.length;
  }

  /** Adds a value in place of the oldest once full. */
  add(value: number): void {
    this.values[this.nextIndex] = value;
    this.nextIndex = (this.nextIndex + 1) % this.capacity;
    this.cached = undefined;
  }

  /** The value that a share `quantile` (0 to 1) of the recent values don't exceed; undefined if empty. */
  quantile(quantile: number): number | undefined {
    if (this.values.length === 0) {
      return undefined;
    }
    if (this.cached?.quantile !== quantile) {
      const ascending = [...this.values].sort((a, b) => a - b);
      const rank = Math.ceil(quantile * ascending.length) - 1;
      this.cached = {quantile, value: ascending[Math.max(0, rank)]!};
    }
    return this.cached.value;
  }
}
