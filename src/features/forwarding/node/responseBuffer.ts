import {ByteCollector} from '../../../base/common/byteCollector.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {MemoryBudget, MemoryHold} from '../../../base/common/memoryBudget.js';
import {ResponseHead} from '../common/callerExchange.js';
import {ExchangeFailure, ResponseListener} from '../common/upstreamExchange.js';
import {
  ResponseMetadata,
  RawHeaders,
  HeaderCodec,
} from '../common/headerCodec.js';

/** How an attempt ended. */
export type AttemptOutcome =
  /** A complete response that belongs to the request. */
  | {
      readonly kind: 'answered';
      readonly head: ResponseHead;
      readonly facts: ResponseMetadata;
      readonly body: Uint8Array;
      /** Whether the response marked its own end. */
      readonly isFramed: boolean;
    }
  /** Nothing was sent; the upstream certainly did not execute the request. */
  | {readonly kind: 'notSent'; readonly detail: string}
  /** The request was sent, but no complete response that belongs to it arrived. */
  | {readonly kind: 'lost'; readonly detail: string}
  /** The request was sent, but there is no memory for its response, which says nothing about the upstream. */
  | {readonly kind: 'givenUp'};

/** Buffers a response until it is complete and checks that it belongs to the request. Disposing releases its memory. */
export class ResponseBuffer extends ResponseListener implements Disposable {
  private readonly hold: MemoryHold;
  private readonly body: ByteCollector;
  private head:
    {status: number; reason: string; headers: RawHeaders} | undefined;
  private isComplete = false;

  constructor(
    private readonly headerCodec: HeaderCodec,
    private readonly requestId: string,
    private readonly limitBytes: number,
    memory: MemoryBudget,
    private readonly onOutcome: (outcome: AttemptOutcome) => void,
  ) {
    super();
    this.hold = memory.hold(() => this.finish({kind: 'givenUp'}));
    this.body = new ByteCollector(this.hold);
  }

  override onHead(status: number, reason: string, headers: RawHeaders): void {
    this.head = {status, reason, headers};
  }

  override onBody(chunk: Uint8Array): void {
    if (this.isComplete) {
      return;
    }
    if (this.body.size + chunk.length > this.limitBytes) {
      this.finish({kind: 'lost', detail: 'response exceeds the buffer limit'});
    } else if (!this.body.append(chunk)) {
      this.finish({kind: 'givenUp'});
    }
  }

  override onEnd(isFramed: boolean): void {
    const {head} = this;
    if (head === undefined) {
      this.finish({kind: 'lost', detail: 'response ended without a head'});
      return;
    }
    const facts = this.headerCodec.readResponse(head.status, head.headers);
    const problem = findResponseProblem(head.status, facts, this.requestId);
    if (problem !== undefined) {
      this.finish({kind: 'lost', detail: problem});
      return;
    }
    const headers = this.headerCodec.callerHeaders(head.headers);
    // An answer is forwarded at once, or kept for a while by a request that tries again.
    this.hold.keep();
    this.finish({
      kind: 'answered',
      head: {...head, headers},
      facts,
      body: this.body.bytes,
      isFramed,
    });
  }

  override onFailure(failure: ExchangeFailure): void {
    const kind = failure.wasSent ? 'lost' : 'notSent';
    this.finish({kind, detail: failure.detail});
  }

  dispose(): void {
    this.hold.dispose();
  }

  private finish(outcome: AttemptOutcome): void {
    if (!this.isComplete) {
      this.isComplete = true;
      if (outcome.kind !== 'answered') {
        this.hold.dispose();
      }
      this.onOutcome(outcome);
    }
  }
}

/** Returns why a response must not be forwarded; undefined if it may be. */
export function findResponseProblem(
  status: number,
  facts: ResponseMetadata,
  requestId: string,
): string | undefined {
  if (facts.requestId !== undefined && facts.requestId !== requestId) {
    return 'response belongs to another request';
  }
  const isSuccess = status >= 200 && status < 300;
  if (isSuccess && !facts.hasProof) {
    return 'success status without proof of execution';
  }
  if (isSuccess && facts.isEncoded) {
    return 'content encoding that was not requested';
  }
  return undefined;
}
