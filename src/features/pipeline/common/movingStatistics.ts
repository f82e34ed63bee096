const SMOOTHING_FACTOR = 0.1;

/** Exponentially weighted moving average and mean absolute deviation of a series. */
export class MovingStatistics {
  private average = 0;
  private averageDeviation = 0;
  private count = 0;

  get sampleCount(): number {
    return this.count;
  }

  get mean(): number {
    return this.average;
  }

  get meanDeviation(): number {
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
    this.average += SMOOTHING_FACTOR * error;
    this.averageDeviation +=
      SMOOTHING_FACTOR * (Math.abs(error) - this.averageDeviation);
  }
}
