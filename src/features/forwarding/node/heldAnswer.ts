import {AnswerHead} from '../common/callerExchange.js';
import {AnswerListener, ExchangeFailure} from '../common/upstreamExchange.js';
import {AnswerFacts, RawHeaders, Wire} from '../common/wire.js';

/** How an attempt ended. */
export type AttemptOutcome =
  /** A whole answer that belongs to the request. */
  | {
      readonly kind: 'answered';
      readonly head: AnswerHead;
      readonly facts: AnswerFacts;
      readonly body: Uint8Array;
      /** Whether it said where it ends. */
      readonly isFramed: boolean;
    }
  /** Nothing was sent: the request has surely not run there. */
  | {readonly kind: 'notSent'; readonly detail: string}
  /** It was sent, and no whole answer that belongs to it came. */
  | {readonly kind: 'lost'; readonly detail: string};

/** Collects an answer until it is whole, and judges whether it belongs to the request. */
export class HeldAnswer extends AnswerListener {
  private readonly chunks: Uint8Array[] = [];
  private size = 0;
  private head:
    {status: number; reason: string; headers: RawHeaders} | undefined;
  private isDone = false;

  constructor(
    private readonly wire: Wire,
    private readonly requestId: string,
    private readonly limitBytes: number,
    private readonly onDone: (outcome: AttemptOutcome) => void,
  ) {
    super();
  }

  override onHead(status: number, reason: string, headers: RawHeaders): void {
    this.head = {status, reason, headers};
  }

  override onBody(chunk: Uint8Array): void {
    this.size += chunk.length;
    if (this.size > this.limitBytes) {
      this.done({kind: 'lost', detail: 'the answer is longer than is held'});
      return;
    }
    this.chunks.push(chunk);
  }

  override onEnd(isFramed: boolean): void {
    const {head} = this;
    if (head === undefined) {
      this.done({kind: 'lost', detail: 'no head'});
      return;
    }
    const facts = this.wire.readAnswer(head.status, head.headers);
    const problem = findProblem(head.status, facts, this.requestId);
    if (problem !== undefined) {
      this.done({kind: 'lost', detail: problem});
      return;
    }
    const headers = this.wire.callerHeaders(head.headers);
    const body = Buffer.concat(this.chunks);
    this.done({
      kind: 'answered',
      head: {...head, headers},
      facts,
      body,
      isFramed,
    });
  }

  override onFailure(failure: ExchangeFailure): void {
    const kind = failure.wasSent ? 'lost' : 'notSent';
    this.done({kind, detail: failure.detail});
  }

  private done(outcome: AttemptOutcome): void {
    if (!this.isDone) {
      this.isDone = true;
      this.onDone(outcome);
    }
  }
}

/** Why an answer can't be handed on; undefined when it can. */
export function findProblem(
  status: number,
  facts: AnswerFacts,
  requestId: string,
): string | undefined {
  if (facts.requestId !== undefined && facts.requestId !== requestId) {
    return 'the answer belongs to another request';
  }
  const isSuccess = status >= 200 && status < 300;
  if (isSuccess && !facts.hasProof) {
    return 'a success without proof';
  }
  if (isSuccess && facts.isEncoded) {
    return 'an encoded body that was not asked for';
  }
  return undefined;
}
