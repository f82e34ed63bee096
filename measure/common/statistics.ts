import {build, Histogram} from 'hdr-histogram-js';

/** Summaries of measured figures. */

const SCALE = 1000;
const HIGHEST_MILLISECONDS = 60000;

/** Times in milliseconds, kept in microseconds. */
export class TimeHistogram {
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MILLISECONDS * SCALE,
    numberOfSignificantValueDigits: 3,
  });

  add(milliseconds: number): void {
    const value = Math.round(milliseconds * SCALE);
    this.histogram.recordValue(Math.max(1, value));
  }

  get count(): number {
    return this.histogram.totalCount;
  }

  /** Milliseconds under which so many in 100 lie. */
  percentile(percent: number): number {
    return this.histogram.getValueAtPercentile(percent) / SCALE;
  }
}

/** The middle of figures; NaN of none. */
export function median(figures: readonly number[]): number {
  const sorted = [...figures].sort((left, right) => left - right);
  const middle = Math.floor(sorted.length / 2);
  return sorted.length % 2 === 1
    ? sorted[middle]
    : (sorted[middle - 1] + sorted[middle]) / 2;
}

/** Rounds for a report. */
export function round(figure: number, digits = 3): number {
  const factor = 10 ** digits;
  return Math.round(figure * factor) / factor;
}
