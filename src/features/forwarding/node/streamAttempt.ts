import {ByteCollector} from '../../../base/common/byteCollector.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {MEMORY_SPENT, MemoryHold} from '../../../base/common/memoryBudget.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {ResponseHead} from '../common/callerExchange.js';
import {StreamEvent} from '../common/eventFramer.js';
import {EventSequence} from '../common/eventSequence.js';
import {
  ExchangeFailure,
  ResponseListener,
  UpstreamExchange,
  UpstreamRequest,
} from '../common/upstreamExchange.js';
import {ResponseMetadata, RawHeaders} from '../common/headerCodec.js';
import {ForwardingServices} from './forwardingServices.js';
import {findResponseProblem} from './responseBuffer.js';

/** Why an attempt ended without a complete response. */
export interface LostAttempt {
  readonly detail: string;
  /** Whether writing the request had started. */
  readonly wasSent: boolean;
  /** Whether this instance gave the response up for lack of memory, which says nothing about the upstream. */
  readonly isGivenUp: boolean;
}

/** Receives the results of a stream attempt. */
export interface StreamAttemptListener {
  /** The head of a successful response; events follow. */
  onStreamHead(head: ResponseHead): void;
  /** Complete events that continue the stream. */
  onEvents(events: readonly StreamEvent[]): void;
  /** The stream is complete. */
  onStreamEnd(): void;
  /** A complete response without a success status. */
  onErrorResponse(
    head: ResponseHead,
    facts: ResponseMetadata,
    body: Uint8Array,
  ): void;
  /** The response broke off or never arrived. */
  onLost(lost: LostAttempt): void;
}

/** One attempt at a stream request. */
export class StreamAttempt extends ResponseListener implements Disposable {
  private exchange: UpstreamExchange | undefined;
  private upstream: Upstream | undefined;
  private head: ResponseHead | undefined;
  private facts: ResponseMetadata | undefined;
  /** Accounts the incomplete event, or the body of an error response. */
  readonly hold: MemoryHold;
  private readonly errorBody: ByteCollector;
  private isStream = false;
  private isDone = false;
  private firstEventAt: number | undefined;

  constructor(
    private readonly services: ForwardingServices,
    private readonly requestId: string,
    private readonly sequence: EventSequence,
    private readonly events: StreamAttemptListener,
  ) {
    super();
    this.hold = services.responseMemory.hold(() => this.giveUp());
    this.errorBody = new ByteCollector(this.hold);
  }

  /** Whether this attempt has delivered an event. */
  get hasEvents(): boolean {
    return this.firstEventAt !== undefined;
  }

  /** Milliseconds since the first event of this attempt; undefined before it. */
  get writingMilliseconds(): number | undefined {
    return this.firstEventAt === undefined
      ? undefined
      : this.services.clock.monotonicMilliseconds() - this.firstEventAt;
  }

  /** Sends the request; used only once. */
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
    this.end();
    this.exchange?.dispose();
  }

  override onHead(status: number, reason: string, raw: RawHeaders): void {
    const {headerCodec} = this.services;
    const facts = headerCodec.readResponse(status, raw);
    const problem = findResponseProblem(status, facts, this.requestId);
    if (problem !== undefined) {
      this.failAsLost(problem);
      return;
    }
    this.facts = facts;
    this.head = {status, reason, headers: headerCodec.callerHeaders(raw)};
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
      this.bufferErrorBody(chunk);
      return;
    }
    const result = this.sequence.push(chunk);
    if (result.events.length > 0) {
      this.firstEventAt ??= this.services.clock.monotonicMilliseconds();
      this.events.onEvents(result.events);
    }
    if (result.kind === 'noMemory') {
      this.giveUp();
    } else if (result.kind === 'broken') {
      this.failAsLost(result.detail);
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

  /** A stream that ended with its connection is accepted only if it is known to be whole. */
  private async verifyEnd(): Promise<void> {
    const {upstream} = this;
    const isWhole =
      upstream !== undefined &&
      (await this.services.responseEndCheck.isWhole(upstream));
    if (this.isDone) {
      return;
    }
    if (isWhole) {
      this.finish();
    } else {
      this.failAsLost('close-delimited stream is not known to be whole');
    }
  }

  private finish(): void {
    if (this.isStream && this.sequence.hasPartialEvent) {
      this.failAsLost('stream ended in the middle of an event');
      return;
    }
    if (this.isStream && !this.sequence.hasEvents) {
      this.failAsLost('stream ended without an event');
      return;
    }
    this.end();
    if (this.isStream) {
      this.events.onStreamEnd();
    } else if (this.head !== undefined && this.facts !== undefined) {
      const {bytes} = this.errorBody;
      this.events.onErrorResponse(this.head, this.facts, bytes);
    }
  }

  private end(): void {
    this.isDone = true;
    this.hold.dispose();
  }

  override onFailure({detail, wasSent}: ExchangeFailure): void {
    if (!this.isDone) {
      this.end();
      this.events.onLost({detail, wasSent, isGivenUp: false});
    }
  }

  private bufferErrorBody(chunk: Uint8Array): void {
    const size = this.errorBody.size + chunk.length;
    if (size > this.services.settings.heldAnswerBytes) {
      this.failAsLost('response exceeds the buffer limit');
    } else if (!this.errorBody.append(chunk)) {
      this.giveUp();
    }
  }

  private giveUp(): void {
    this.endAsLost({detail: MEMORY_SPENT, wasSent: true, isGivenUp: true});
  }

  private failAsLost(detail: string): void {
    this.endAsLost({detail, wasSent: true, isGivenUp: false});
  }

  private endAsLost(lost: LostAttempt): void {
    if (!this.isDone) {
      this.dispose();
      this.events.onLost(lost);
    }
  }
}
