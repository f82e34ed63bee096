/** Interface for counters, gauges and timings. */

/** Labels of a metric. */
export type MetricTags = Readonly<Record<string, string>>;

/** Records metrics; docs/OPERATIONS.md lists their names and units. */
export abstract class Metrics {
  abstract count(name: string, value: number, tags?: MetricTags): void;
  abstract gauge(name: string, value: number, tags?: MetricTags): void;
  abstract milliseconds(name: string, value: number, tags?: MetricTags): void;
}

/** Discards all metrics. */
export class SilentMetrics extends Metrics {
  override count(): void {}
  override gauge(): void {}
  override milliseconds(): void {}
}
