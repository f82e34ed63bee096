import {Disposable} from '../../../base/common/lifecycle.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {AnswerHead} from '../common/callerExchange.js';
import {EventSequence} from '../common/eventSequence.js';
import {
  AnswerListener,
  ExchangeFailure,
  UpstreamExchange,
  UpstreamRequest,
} from '../common/upstreamExchange.js';
import {AnswerFacts, RawHeaders} from '../common/wire.js';
import {ForwardingServices} from './forwardingServices.js';
import {findProblem} from './heldAnswer.js';

/** What an attempt tells the run that it belongs to. */
export interface StreamAttemptEvents {
  /** The head of a success; events follow. */
  onStreamHead(head: AnswerHead): void;
  /** Whole events that follow those before. */
  onEvents(bytes: Uint8Array, count: number): void;
  /** The stream is complete. */
  onStreamEnd(): void;
  /** A whole answer that is no success. */
  onOtherAnswer(head: AnswerHead, facts: AnswerFacts, body: Uint8Array): void;
  /** The answer broke off, or never came. */
  onLost(detail: string, wasSent: boolean): void;
}

/** One sending of a stream request. */
export class StreamAttempt extends AnswerListener implements Disposable {
  private exchange: UpstreamExchange | undefined;
  private upstream: Upstream | undefined;
  private head: AnswerHead | undefined;
  private facts: AnswerFacts | undefined;
  private readonly otherBody: Uint8Array[] = [];
  private otherBytes = 0;
  private isStream = false;
  private isDone = false;
  private hasSeenEvents = false;

  constructor(
    private readonly services: ForwardingServices,
    private readonly requestId: string,
    private readonly sequence: EventSequence,
    private readonly events: StreamAttemptEvents,
  ) {
    super();
  }

  /** Whether this attempt has brought an event. */
  get hasEvents(): boolean {
    return this.hasSeenEvents;
  }

  /** Sends the request; used once. */
  open(upstream: Upstream, request: UpstreamRequest): void {
    this.upstream = upstream;
    this.exchange = this.services.connector.open(upstream, request, this);
    if (this.isDone) {
      this.exchange.dispose();
    }
  }

  pause(): void {
    this.exchange?.pause();
  }

  resume(): void {
    this.exchange?.resume();
  }

  dispose(): void {
    this.isDone = true;
    this.exchange?.dispose();
  }

  override onHead(status: number, reason: string, raw: RawHeaders): void {
    const {wire} = this.services;
    const facts = wire.readAnswer(status, raw);
    const problem = findProblem(status, facts, this.requestId);
    if (problem !== undefined) {
      this.lose(problem);
      return;
    }
    this.facts = facts;
    this.head = {status, reason, headers: wire.callerHeaders(raw)};
    this.isStream = status >= 200 && status < 300;
    if (this.isStream && !this.isDone) {
      this.events.onStreamHead(this.head);
    }
  }

  override onBody(chunk: Uint8Array): void {
    if (this.isDone) {
      return;
    }
    if (!this.isStream) {
      this.hold(chunk);
      return;
    }
    const step = this.sequence.push(chunk);
    if (step.kind === 'broken') {
      this.lose(step.detail);
    } else if (step.events.length > 0) {
      this.hasSeenEvents = true;
      const bytes = step.events.map(event => event.bytes);
      this.events.onEvents(Buffer.concat(bytes), bytes.length);
    }
  }

  override onEnd(isFramed: boolean): void {
    if (this.isDone) {
      return;
    }
    if (!isFramed && this.isStream) {
      void this.verifyEnd();
      return;
    }
    this.finish();
  }

  /** A stream that ended with its connection is complete only if its upstream did not end, too. */
  private async verifyEnd(): Promise<void> {
    const {upstream} = this;
    const isAlive =
      upstream !== undefined && (await this.services.trials.isAlive(upstream));
    if (this.isDone) {
      return;
    }
    if (isAlive) {
      this.finish();
    } else {
      this.lose('the upstream ended with a stream without length');
    }
  }

  private finish(): void {
    if (this.isStream && this.sequence.isInsideEvent) {
      this.lose('the stream ended inside an event');
      return;
    }
    this.isDone = true;
    if (this.isStream) {
      this.events.onStreamEnd();
    } else if (this.head !== undefined && this.facts !== undefined) {
      const body = Buffer.concat(this.otherBody);
      this.events.onOtherAnswer(this.head, this.facts, body);
    }
  }

  override onFailure({detail, wasSent}: ExchangeFailure): void {
    if (!this.isDone) {
      this.isDone = true;
      this.events.onLost(detail, wasSent);
    }
  }

  private hold(chunk: Uint8Array): void {
    this.otherBytes += chunk.length;
    if (this.otherBytes > this.services.settings.heldAnswerBytes) {
      this.lose('the answer is longer than is held');
      return;
    }
    this.otherBody.push(chunk);
  }

  private lose(detail: string): void {
    if (!this.isDone) {
      this.dispose();
      this.events.onLost(detail, true);
    }
  }
}
