/** Counters, gauges and times, as a port. */

/** Labels of a measurement. */
export type MetricTags = Readonly<Record<string, string>>;

/** Sends measurements; names and units stand in docs/OPERATIONS.md. */
export abstract class Metrics {
  abstract count(name: string, value: number, tags?: MetricTags): void;
  abstract gauge(name: string, value: number, tags?: MetricTags): void;
  abstract milliseconds(name: string, value: number, tags?: MetricTags): void;
}

/** Drops everything. */
export class SilentMetrics extends Metrics {
  override count(): void {}
  override gauge(): void {}
  override milliseconds(): void {}
}
