import {Clock} from '../../../base/common/clock.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {ExchangeSummary} from './requestExchange.js';

/** Writes the log line and the metrics of one request when it ends. */
export class RequestLog {
  /** Monotonic milliseconds. */
  readonly arrivedAt: number;
  clientAccount: string | undefined;
  classOfWork: string | undefined;

  constructor(
    private readonly name: string,
    readonly requestId: string,
    private readonly clock: Clock,
  ) {
    this.arrivedAt = clock.monotonicMilliseconds();
  }

  /** Writes the log line, without idempotency key and content, and records the metrics. */
  write(
    summary: ExchangeSummary,
    status: number,
    logger: Logger,
    metrics: Metrics,
  ): void {
    const totalMilliseconds =
      this.clock.monotonicMilliseconds() - this.arrivedAt;
    const timeToFirstToken =
      summary.firstTokenAt === undefined
        ? undefined
        : summary.firstTokenAt - this.arrivedAt;
    const failed = summary.state === 'completed' ? undefined : summary.failure;
    logger.info('request', {
      requestId: this.requestId,
      call: this.name,
      classOfWork: this.classOfWork,
      clientAccount: this.clientAccount,
      outcome: summary.state,
      error: failed?.error.kind,
      executed: failed?.executed ?? 'yes',
      status,
      tokens: summary.tokenCount,
      firstTokenMilliseconds: timeToFirstToken,
      wholeMilliseconds: totalMilliseconds,
    });
    this.recordMetrics(summary, timeToFirstToken, totalMilliseconds, metrics);
  }

  private recordMetrics(
    summary: ExchangeSummary,
    timeToFirstToken: number | undefined,
    totalMilliseconds: number,
    metrics: Metrics,
  ): void {
    const tags = {
      call: this.name,
      class: this.classOfWork ?? 'none',
      outcome: summary.failure?.error.kind ?? summary.state,
    };
    metrics.count('caller.requests', 1, tags);
    metrics.milliseconds('caller.whole', totalMilliseconds, tags);
    if (timeToFirstToken !== undefined) {
      metrics.milliseconds('caller.first_token', timeToFirstToken, tags);
    }
  }
}
