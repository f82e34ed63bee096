import {
  Operation,
  OperationResultEnvelope,
  TRPCClientError,
  TRPCLink,
} from '@trpc/client';
import {AnyTRPCRouter} from '@trpc/server';
import {observable} from '@trpc/server/observable';
import {Dispatcher} from 'undici';

/** A tRPC link that sends calls as requests of an undici dispatcher, without `fetch`. */

/** The body of a response, as sent by the server. */
interface ResponseBody {
  readonly result?: {readonly data?: unknown};
  readonly error?: unknown;
}

/**
 * Creates a link that sends each call as a POST request; its signal aborts the call. All bodies are JSON, so there is
 * no content-type header.
 */
export function createDispatcherLink<Router extends AnyTRPCRouter>(
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
        const exchange = new RpcExchange((cause, response) => {
          op.signal?.removeEventListener('abort', onAbort);
          if (response === undefined || response.error !== undefined) {
            const source = response ?? (cause as Error);
            observer.error(TRPCClientError.from<Router>(source as Error));
            return;
          }
          observer.next({result: {type: 'data', data: response.result?.data}});
          observer.complete();
        });
        op.signal?.addEventListener('abort', onAbort, {once: true});
        if (op.signal?.aborted) {
          onAbort();
        } else {
          dispatchCall(dispatcher, origin, headers, op, exchange);
        }
        return onAbort;
      });
}

function dispatchCall(
  dispatcher: Dispatcher,
  origin: string,
  headers: Readonly<Record<string, string>>,
  operation: Operation,
  exchange: RpcExchange,
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

/** One request and its response. It ends once: with the response, a failure or an abort. */
class RpcExchange implements Dispatcher.DispatchHandler {
  private readonly chunks: Buffer[] = [];
  private controller: Dispatcher.DispatchController | undefined;
  private hasEnded = false;

  constructor(
    private readonly onEnd: (cause: unknown, response?: ResponseBody) => void,
  ) {}

  /** Aborts the request. If it is still waiting for a connection, it is never sent. */
  abort(): void {
    if (!this.hasEnded) {
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
    if (this.hasEnded) {
      controller.abort(new Error('the call was aborted'));
    }
  }

  onResponseStart(): void {}

  onResponseData(_: Dispatcher.DispatchController, chunk: Buffer): void {
    this.chunks.push(chunk);
  }

  onResponseEnd(): void {
    const [first] = this.chunks;
    const isSingleChunk = first !== undefined && this.chunks.length === 1;
    const body = isSingleChunk ? first : Buffer.concat(this.chunks);
    let response: ResponseBody;
    try {
      response = JSON.parse(body.toString('utf8')) as ResponseBody;
    } catch (cause) {
      this.end(cause);
      return;
    }
    this.end(undefined, response);
  }

  onResponseError(_: Dispatcher.DispatchController, cause: Error): void {
    this.end(cause);
  }

  private end(cause: unknown, response?: ResponseBody): void {
    if (!this.hasEnded) {
      this.hasEnded = true;
      this.onEnd(cause, response);
    }
  }
}
