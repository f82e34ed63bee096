import {build, Histogram} from 'hdr-histogram-js';

/** Summary statistics of measurements. */

const MICROSECONDS_PER_MILLISECOND = 1000;
const MAXIMUM_MILLISECONDS = 60000;

/** A histogram of times in milliseconds, stored in microseconds with three significant digits. */
export class TimeHistogram {
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAXIMUM_MILLISECONDS * MICROSECONDS_PER_MILLISECOND,
    numberOfSignificantValueDigits: 3,
  });

  add(milliseconds: number): void {
    const value = Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND);
    this.histogram.recordValue(Math.max(1, value));
  }

  get count(): number {
    return this.histogram.totalCount;
  }

  /** The percentile, in milliseconds. */
  percentile(percent: number): number {
    return (
      this.histogram.getValueAtPercentile(percent) /
      MICROSECONDS_PER_MILLISECOND
    );
  }
}

/** The median; NaN for an empty array. */
export function median(figures: readonly number[]): number {
  const sorted = [...figures].sort((left, right) => left - right);
  const middle = Math.floor(sorted.length / 2);
  return sorted.length % 2 === 1
    ? sorted[middle]
    : (sorted[middle - 1] + sorted[middle]) / 2;
}

/** Rounds to the given number of decimal places. */
export function round(figure: number, digits = 3): number {
  const factor = 10 ** digits;
  return Math.round(figure * factor) / factor;
}
