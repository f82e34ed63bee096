import {Clock} from '../../../base/common/clock.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {ExchangeSummary} from './requestExchange.js';

/** The log line and the measurements of one request, written at its end. */
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

  /** Writes the line; holds no key and no content. */
  write(
    summary: ExchangeSummary,
    status: number,
    logger: Logger,
    metrics: Metrics,
  ): void {
    const whole = this.clock.monotonicMilliseconds() - this.arrivedAt;
    const first =
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
      firstTokenMilliseconds: first,
      wholeMilliseconds: whole,
    });
    this.measure(summary, first, whole, metrics);
  }

  private measure(
    summary: ExchangeSummary,
    first: number | undefined,
    whole: number,
    metrics: Metrics,
  ): void {
    const tags = {
      call: this.name,
      class: this.classOfWork ?? 'none',
      outcome: summary.failure?.error.kind ?? summary.state,
    };
    metrics.count('caller.requests', 1, tags);
    metrics.milliseconds('caller.whole', whole, tags);
    if (first !== undefined) {
      metrics.milliseconds('caller.first_token', first, tags);
    }
  }
}
