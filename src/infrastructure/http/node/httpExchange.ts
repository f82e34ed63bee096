import {Dispatcher, Pool} from 'undici';

import {CancellationToken} from '../../../base/common/cancellation.js';
import {Disposable} from '../../../base/common/lifecycle.js';

/** A call to make. */
export interface HttpCall {
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Whole time of the call, waiting for a connection included. */
  readonly milliseconds?: number;
}

/** Headers of an answer, names in lower case. */
export type HttpHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** A whole answer. */
export interface HttpAnswer {
  readonly kind: 'answered';
  readonly status: number;
  readonly headers: HttpHeaders;
  readonly body: string;
}

/** What became of a call. */
export type HttpOutcome =
  | HttpAnswer
  /** No byte of it was written: it surely had no effect. */
  | {readonly kind: 'notSent'; readonly detail: string}
  /** Refused here, before sending, for want of room. */
  | {readonly kind: 'tooMany'; readonly limit: number}
  /** Writing had begun and no whole answer came: it may have had its effect. */
  | {readonly kind: 'lost'; readonly detail: string}
  /** The token was cancelled; `sent` says whether writing had begun. */
  | {readonly kind: 'cancelled'; readonly sent: boolean};

/**
 * One call and its answer. The pool announces the moment before the first byte is written, so
 * whether a failed call was sent is known and not guessed from an error code.
 */
export class HttpExchange implements Dispatcher.DispatchHandler {
  private readonly chunks: Buffer[] = [];
  private controller: Dispatcher.DispatchController | undefined;
  private settle: (outcome: HttpOutcome) => void = () => undefined;
  private timer: NodeJS.Timeout | undefined;
  private cancellation: Disposable | undefined;
  private sent = false;
  private settled = false;
  private status = 0;
  private headers: HttpHeaders = {};
  private size = 0;

  constructor(
    private readonly pool: Pool,
    private readonly milliseconds: number,
    private readonly answerLimitBytes: number,
  ) {}

  /** Dispatches the call; used once. */
  run(call: HttpCall, token: CancellationToken): Promise<HttpOutcome> {
    return new Promise(resolve => {
      this.settle = resolve;
      this.timer = setTimeout(() => this.timeOut(), this.milliseconds);
      this.cancellation = token.onDidCancel(() =>
        this.abandon({kind: 'cancelled', sent: this.sent}),
      );
      this.dispatch(call);
    });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.settled) {
      controller.abort(new Error('given up before sending'));
      return;
    }
    this.sent = true;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: HttpHeaders,
  ): void {
    this.status = status;
    this.headers = headers;
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.size += chunk.length;
    if (this.size > this.answerLimitBytes) {
      this.abandon({
        kind: 'lost',
        detail: `answer longer than ${this.answerLimitBytes} bytes`,
      });
      return;
    }
    this.chunks.push(chunk);
  }

  onResponseEnd(): void {
    if (!this.isFramed()) {
      this.finish(this.failed('the answer does not say where it ends'));
      return;
    }
    this.finish({
      kind: 'answered',
      status: this.status,
      headers: this.headers,
      body: this.body(),
    });
  }

  onResponseError(
    controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.finish(this.failed(describe(error)));
  }

  private dispatch(call: HttpCall): void {
    try {
      this.pool.dispatch(
        {
          method: call.method as Dispatcher.HttpMethod,
          path: call.path,
          headers: call.headers as Record<string, string>,
          body: call.body,
        },
        this,
      );
    } catch (error) {
      this.finish(this.failed(describe(error)));
    }
  }

  private failed(detail: string): HttpOutcome {
    return {kind: this.sent ? 'lost' : 'notSent', detail};
  }

  private timeOut(): void {
    this.abandon(this.failed(`no answer within ${this.milliseconds} ms`));
  }

  private abandon(outcome: HttpOutcome): void {
    this.finish(outcome);
    this.controller?.abort(new Error('given up'));
  }

  private finish(outcome: HttpOutcome): void {
    if (this.settled) {
      return;
    }
    this.settled = true;
    clearTimeout(this.timer);
    this.cancellation?.dispose();
    this.settle(outcome);
  }

  /** An answer that ends with its connection can't be told from one cut off. */
  private isFramed(): boolean {
    return (
      this.headers['content-length'] !== undefined ||
      this.headers['transfer-encoding'] !== undefined ||
      this.status === 204 ||
      this.status === 304
    );
  }

  private body(): string {
    const [first] = this.chunks;
    if (first === undefined) {
      return '';
    }
    const whole = this.chunks.length === 1 ? first : Buffer.concat(this.chunks);
    return whole.toString('utf8');
  }
}

function describe(error: unknown): string {
  if (!(error instanceof Error)) {
    return 'unknown error';
  }
  const code = (error as NodeJS.ErrnoException).code;
  return code === undefined ? error.message : `${code}: ${error.message}`;
}
