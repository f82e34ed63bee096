const WEIGHT = 0.1;

/** Exponentially weighted mean and mean deviation of a series. */
export class MovingSpread {
  private average = 0;
  private averageDeviation = 0;
  private count = 0;

  get samples(): number {
    return this.count;
  }

  get mean(): number {
    return this.average;
  }

  get deviation(): number {
    return this.averageDeviation;
  }

  observe(value: number): void {
    this.count += 1;
    if (this.count === 1) {
      this.average = value;
      this.averageDeviation = value / 2;
      return;
    }
    const error = value - this.average;
    this.average += WEIGHT * error;
    this.averageDeviation += WEIGHT * (Math.abs(error) - this.averageDeviation);
  }
}
