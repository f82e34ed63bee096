import {StatsD} from 'hot-shots';

import {Disposable} from '../../../base/common/lifecycle.js';
import {MetricTags, Metrics} from '../common/metrics.js';

const MAX_DATAGRAM_BYTES = 1400;
const FLUSH_INTERVAL_MILLISECONDS = 1000;

/** Sends metrics to a StatsD server over UDP. While the server is unavailable, metrics are lost without an error. */
export class StatsdMetrics extends Metrics implements Disposable {
  private readonly client: StatsD;

  constructor(address: string, globalTags: MetricTags = {}) {
    super();
    const separator = address.lastIndexOf(':');
    this.client = new StatsD({
      host: address.slice(0, separator),
      port: Number(address.slice(separator + 1)),
      prefix: 'redwing.',
      globalTags: {...globalTags},
      maxBufferSize: MAX_DATAGRAM_BYTES,
      bufferFlushInterval: FLUSH_INTERVAL_MILLISECONDS,
      errorHandler: () => undefined,
    });
  }

  override count(name: string, value: number, tags: MetricTags = {}): void {
    this.client.increment(name, value, {...tags});
  }

  override gauge(name: string, value: number, tags: MetricTags = {}): void {
    this.client.gauge(name, value, {...tags});
  }

  override milliseconds(
    name: string,
    value: number,
    tags: MetricTags = {},
  ): void {
    this.client.timing(name, value, {...tags});
  }

  dispose(): void {
    this.client.close(() => undefined);
  }
}
