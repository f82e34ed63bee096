import {Dispatcher, Pool} from 'undici';

import {ByteCollector} from '../../../base/common/byteCollector.js';
import {CancellationToken} from '../../../base/common/cancellation.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {
  MEMORY_SPENT,
  MemoryBudget,
  MemoryHold,
} from '../../../base/common/memoryBudget.js';
import {ResponseTimer} from '../../../base/node/responseTimer.js';
import {ConnectionWatch, WatchedConnection} from './connectionWatch.js';
import {marksItsEnd} from './responseFraming.js';

/** A request to send. */
export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Time limit of the request, including the wait for a connection. */
  readonly milliseconds?: number;
}

/** How long a response may take beyond the time limit of its call while its bytes arrive. */
export interface TransferLimits {
  /** Longest pause between its bytes. */
  readonly pauseMilliseconds: number;
  /** Longest time of the whole call. */
  readonly totalMilliseconds: number;
}

/** Response headers; names are in lower case. */
export type HttpHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** A complete response. */
export interface HttpResponse {
  readonly kind: 'answered';
  readonly status: number;
  readonly headers: HttpHeaders;
  readonly body: string;
}

/** The outcome of a request. */
export type HttpOutcome =
  | HttpResponse
  /** No byte was sent, so the request had no effect. */
  | {readonly kind: 'notSent'; readonly detail: string}
  /** Rejected before sending: too many requests are pending in this process. */
  | {readonly kind: 'tooMany'; readonly limit: number}
  /** Sending had started and no complete response arrived, so the request may have had an effect. */
  | {readonly kind: 'lost'; readonly detail: string}
  /** The token was cancelled; `sent` tells whether sending had started. */
  | {readonly kind: 'cancelled'; readonly sent: boolean};

/**
 * One request and its response. The pool calls `onRequestStart` before it writes the first byte, so whether a failed
 * request was sent is known and not inferred from an error code.
 */
export class HttpExchange implements Dispatcher.DispatchHandler {
  private readonly hold: MemoryHold;
  private readonly body: ByteCollector;
  private readonly startedAt = performance.now();
  /** When bytes of the response arrived last; undefined before its head. */
  private receivedAt: number | undefined;
  private connection: WatchedConnection | undefined;
  private controller: Dispatcher.DispatchController | undefined;
  private settle: (outcome: HttpOutcome) => void = () => undefined;
  private timer: Disposable | undefined;
  private cancellation: Disposable | undefined;
  private sent = false;
  private settled = false;
  private status = 0;
  private headers: HttpHeaders = {};

  constructor(
    private readonly pool: Pool,
    private readonly connectionWatch: ConnectionWatch,
    memory: MemoryBudget,
    private readonly milliseconds: number,
    private readonly transfer: TransferLimits | undefined,
    private readonly maxResponseBytes: number,
  ) {
    this.hold = memory.hold(() => this.abortWith(this.failed(MEMORY_SPENT)));
    this.body = new ByteCollector(this.hold);
  }

  /** Sends the request; called once only. */
  run(request: HttpRequest, token: CancellationToken): Promise<HttpOutcome> {
    return new Promise(resolve => {
      this.settle = resolve;
      this.startTimer(this.milliseconds);
      this.cancellation = token.onDidCancel(() =>
        this.abortWith({kind: 'cancelled', sent: this.sent}),
      );
      this.dispatch(request);
    });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.settled) {
      controller.abort(new Error('request ended before it was sent'));
      return;
    }
    this.sent = true;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: HttpHeaders,
  ): void {
    this.connection = this.connectionWatch.current;
    this.receivedAt = performance.now();
    this.status = status;
    this.headers = headers;
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.settled) {
      return;
    }
    this.receivedAt = performance.now();
    this.connection?.recordBody(chunk.length);
    if (this.body.size + chunk.length > this.maxResponseBytes) {
      const detail = `answer longer than ${this.maxResponseBytes} bytes`;
      this.abortWith({kind: 'lost', detail});
    } else if (!this.body.append(chunk)) {
      this.abortWith(this.failed(MEMORY_SPENT));
    }
  }

  onResponseEnd(): void {
    this.connection?.recordEnd();
    if (!marksItsEnd(this.status, this.headers)) {
      this.settleOnce(this.failed('the answer does not say where it ends'));
      return;
    }
    this.settleOnce({
      kind: 'answered',
      status: this.status,
      headers: this.headers,
      body: Buffer.from(this.body.bytes).toString('utf8'),
    });
  }

  onResponseError(
    controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.settleOnce(this.failed(describeError(error)));
  }

  private dispatch(request: HttpRequest): void {
    try {
      this.pool.dispatch(
        {
          method: request.method as Dispatcher.HttpMethod,
          path: request.path,
          headers: request.headers as Record<string, string>,
          body: request.body,
        },
        this,
      );
    } catch (error) {
      this.settleOnce(this.failed(describeError(error)));
    }
  }

  private failed(detail: string): HttpOutcome {
    return {kind: this.sent ? 'lost' : 'notSent', detail};
  }

  private startTimer(milliseconds: number): void {
    this.timer = new ResponseTimer(milliseconds, () => this.onTimeout());
  }

  private onTimeout(): void {
    const remaining = this.remainingTransferMilliseconds();
    if (remaining > 0) {
      this.startTimer(remaining);
      return;
    }
    const received =
      this.body.size === 0 ? '' : `, ${this.body.size} bytes arrived`;
    const detail = `no whole answer within ${this.milliseconds} ms${received}`;
    this.abortWith(this.failed(detail));
  }

  /** Time for which a response that has begun to arrive may go on if nothing more of it arrives. */
  private remainingTransferMilliseconds(): number {
    if (this.transfer === undefined || this.receivedAt === undefined) {
      return 0;
    }
    const {pauseMilliseconds, totalMilliseconds} = this.transfer;
    const end = Math.min(
      this.receivedAt + pauseMilliseconds,
      this.startedAt + totalMilliseconds,
    );
    return Math.ceil(end - performance.now());
  }

  private abortWith(outcome: HttpOutcome): void {
    this.settleOnce(outcome);
    this.controller?.abort(new Error('request aborted'));
  }

  private settleOnce(outcome: HttpOutcome): void {
    if (this.settled) {
      return;
    }
    this.settled = true;
    this.timer?.dispose();
    this.hold.dispose();
    this.cancellation?.dispose();
    this.settle(outcome);
  }
}

function describeError(error: unknown): string {
  if (!(error instanceof Error)) {
    return 'unknown error';
  }
  const code = (error as NodeJS.ErrnoException).code;
  return code === undefined ? error.message : `${code}: ${error.message}`;
}
