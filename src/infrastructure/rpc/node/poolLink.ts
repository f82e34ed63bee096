import {
  Operation,
  OperationResultEnvelope,
  TRPCClientError,
  TRPCLink,
} from '@trpc/client';
import {AnyTRPCRouter} from '@trpc/server';
import {observable} from '@trpc/server/observable';
import {Dispatcher} from 'undici';

/** Carries tRPC calls by plain requests of an undici dispatcher, without the web's fetch. */

/** The body of an answer, as the server writes it. */
interface AnswerBody {
  readonly result?: {readonly data?: unknown};
  readonly error?: unknown;
}

/** Makes a link that sends every call as a POST of JSON; calls end when their signal fires. All is JSON, so no header says so. */
export function createPoolLink<Router extends AnyTRPCRouter>(
  dispatcher: Dispatcher,
  origin: string,
  headers: Readonly<Record<string, string>>,
): TRPCLink<Router> {
  return () =>
    ({op}) =>
      observable<
        OperationResultEnvelope<unknown, TRPCClientError<Router>>,
        TRPCClientError<Router>
      >(observer => {
        const onAbort = (): void => exchange.abort();
        const exchange = new Exchange((cause, answer) => {
          op.signal?.removeEventListener('abort', onAbort);
          if (answer === undefined || answer.error !== undefined) {
            const source = answer ?? (cause as Error);
            observer.error(TRPCClientError.from<Router>(source as Error));
            return;
          }
          observer.next({result: {type: 'data', data: answer.result?.data}});
          observer.complete();
        });
        op.signal?.addEventListener('abort', onAbort, {once: true});
        if (op.signal?.aborted) {
          onAbort();
        } else {
          send(dispatcher, origin, headers, op, exchange);
        }
        return onAbort;
      });
}

function send(
  dispatcher: Dispatcher,
  origin: string,
  headers: Readonly<Record<string, string>>,
  operation: Operation,
  exchange: Exchange,
): void {
  const path = `/${operation.path}`;
  try {
    const body = JSON.stringify(operation.input) ?? '';
    dispatcher.dispatch(
      {origin, path, method: 'POST', headers, body},
      exchange,
    );
  } catch (cause) {
    exchange.fail(cause);
  }
}

/** One request and its answer; it ends once, by the answer, a failure or an abort. */
class Exchange implements Dispatcher.DispatchHandler {
  private readonly chunks: Buffer[] = [];
  private controller: Dispatcher.DispatchController | undefined;
  private isDone = false;

  constructor(
    private readonly onDone: (cause: unknown, answer?: AnswerBody) => void,
  ) {}

  /** Ends the request; one that still waits for a connection is never sent. */
  abort(): void {
    if (!this.isDone) {
      const cause = new Error('the call was aborted');
      this.controller?.abort(cause);
      this.fail(cause);
    }
  }

  fail(cause: unknown): void {
    this.end(cause);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.isDone) {
      controller.abort(new Error('the call was aborted'));
    }
  }

  onResponseStart(): void {}

  onResponseData(_: Dispatcher.DispatchController, chunk: Buffer): void {
    this.chunks.push(chunk);
  }

  onResponseEnd(): void {
    const [first] = this.chunks;
    const isWhole = first !== undefined && this.chunks.length === 1;
    const body = isWhole ? first : Buffer.concat(this.chunks);
    let answer: AnswerBody;
    try {
      answer = JSON.parse(body.toString('utf8')) as AnswerBody;
    } catch (cause) {
      this.end(cause);
      return;
    }
    this.end(undefined, answer);
  }

  onResponseError(_: Dispatcher.DispatchController, cause: Error): void {
    this.end(cause);
  }

  private end(cause: unknown, answer?: AnswerBody): void {
    if (!this.isDone) {
      this.isDone = true;
      this.onDone(cause, answer);
    }
  }
}
