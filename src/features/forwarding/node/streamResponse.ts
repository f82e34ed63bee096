import {CallerExchange, ResponseHead} from '../common/callerExchange.js';
import {EventGapMeter} from '../common/eventGapMeter.js';
import {StreamEvent} from '../common/eventFramer.js';
import {ForwardingServices} from './forwardingServices.js';

/** The response to the caller of a stream, which may continue over several attempts. */
export class StreamResponse {
  private readonly gapMeter: EventGapMeter;
  private head: ResponseHead | undefined;
  private firstEventMilliseconds = 0;

  constructor(
    private readonly services: Pick<ForwardingServices, 'clock' | 'metrics'>,
    private readonly exchange: CallerExchange,
  ) {
    this.gapMeter = new EventGapMeter(exchange.request.receivedAt);
  }

  /** Pauses between the events so far. */
  get gaps(): Pick<
    EventGapMeter,
    'events' | 'lastEventAt' | 'meanGapMilliseconds'
  > {
    return this.gapMeter;
  }

  /** Milliseconds since the last event, or since the request arrived. */
  get silentMilliseconds(): number {
    return this.gapMeter.silence(this.now);
  }

  /** Whether an attempt has a head whose events may be forwarded. */
  get hasHead(): boolean {
    return this.head !== undefined;
  }

  get status(): number | undefined {
    return this.head?.status;
  }

  /** Records the head of an attempt; the response keeps the head of the attempt that delivered its first event. */
  recordHead(head: ResponseHead): void {
    if (!this.exchange.hasBegun) {
      this.head = head;
    }
  }

  /** Forwards events; returns whether the caller reads fast enough. */
  write(events: readonly StreamEvent[]): boolean {
    if (!this.exchange.hasBegun) {
      this.sendHead();
      const {receivedAt} = this.exchange.request;
      this.firstEventMilliseconds = this.now - receivedAt;
      this.services.metrics.recordFirstOutput(
        'stream',
        this.firstEventMilliseconds,
      );
    }
    this.gapMeter.recordEvents(this.now, events.length);
    return this.exchange.write(Buffer.concat(events.map(({bytes}) => bytes)));
  }

  /** Ends the response as complete. */
  end(): void {
    if (!this.exchange.hasBegun) {
      this.sendHead();
    }
    this.exchange.end();
    this.services.metrics.recordLongestGap(
      this.gapMeter.longestGapMilliseconds,
    );
  }

  /** Fields of the `requestEnded` log line. */
  get logFields(): Readonly<Record<string, unknown>> {
    return {
      events: this.gapMeter.events,
      first: Math.round(this.firstEventMilliseconds),
      longestPause: Math.round(this.gapMeter.longestGapMilliseconds),
    };
  }

  private sendHead(): void {
    if (this.head !== undefined) {
      this.exchange.sendHead(this.head);
    }
  }

  private get now(): number {
    return this.services.clock.monotonicMilliseconds();
  }
}
