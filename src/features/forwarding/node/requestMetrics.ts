import {Counter, Histogram, Registry} from 'prom-client';

/** Upper bounds of the latency histograms in milliseconds, closest around common targets. */
const MILLISECOND_BUCKETS = [
  5, 10, 20, 35, 50, 75, 100, 150, 200, 300, 500, 800, 1200, 2000, 5000, 20000,
];

/** Counters and latency histograms of requests, served as text on the metrics address. */
export class RequestMetrics {
  private readonly ended: Counter<'kind' | 'outcome'>;
  private readonly retries: Counter<'cause'>;
  private readonly firstOutputTime: Histogram<'kind'>;
  private readonly longestPause: Histogram;
  private readonly totalTime: Histogram<'kind'>;

  constructor(readonly registry: Registry) {
    const registers = [registry];
    this.ended = new Counter({
      name: 'redwing_requests_total',
      help: 'Requests by kind of route and outcome.',
      labelNames: ['kind', 'outcome'],
      registers,
    });
    this.retries = new Counter({
      name: 'redwing_repeats_total',
      help: 'Requests that were sent once more or moved, by cause.',
      labelNames: ['cause'],
      registers,
    });
    this.firstOutputTime = createHistogram(
      registers,
      'redwing_first_milliseconds',
      'Time to the first event of a stream or to a whole answer.',
      ['kind'],
    );
    this.longestPause = createHistogram(
      registers,
      'redwing_pause_milliseconds',
      'Longest pause between two events of a stream.',
      [],
    );
    this.totalTime = createHistogram(
      registers,
      'redwing_whole_milliseconds',
      'Time to the end of an answer.',
      ['kind'],
    );
  }

  recordEnd(kind: string, outcome: string, milliseconds: number): void {
    this.ended.inc({kind, outcome});
    this.totalTime.observe({kind}, milliseconds);
  }

  /** Records the time to the first event or to the complete response. */
  recordFirstOutput(kind: string, milliseconds: number): void {
    this.firstOutputTime.observe({kind}, milliseconds);
  }

  /** Records the longest gap between two events of a stream that has ended. */
  recordLongestGap(milliseconds: number): void {
    this.longestPause.observe(milliseconds);
  }

  /** Counts a request that was sent again or moved. */
  recordRetry(cause: string): void {
    this.retries.inc({cause});
  }
}

function createHistogram<Label extends string>(
  registers: Registry[],
  name: string,
  help: string,
  labelNames: Label[],
): Histogram<Label> {
  const buckets = MILLISECOND_BUCKETS;
  return new Histogram({name, help, labelNames, buckets, registers});
}
