import {
  Operation,
  OperationResultEnvelope,
  TRPCClientError,
  TRPCLink,
} from '@trpc/client';
import {AnyTRPCRouter} from '@trpc/server';
import {observable} from '@trpc/server/observable';
import {Dispatcher} from 'undici';

import {ByteCollector} from '../../../base/common/byteCollector.js';
import {
  MEMORY_SPENT,
  MemoryBudget,
  MemoryHold,
} from '../../../base/common/memoryBudget.js';
import {
  ConnectionWatch,
  WatchedConnection,
} from '../../http/node/connectionWatch.js';
import {MESSAGE_LIMIT_BYTES} from './rpcServer.js';

/** A tRPC link that sends calls as requests of an undici dispatcher, without `fetch`. */

/** The body of a response, as sent by the server. */
interface ResponseBody {
  readonly result?: {readonly data?: unknown};
  readonly error?: unknown;
}

/** What sends calls. */
export interface CallSender {
  readonly dispatcher: Dispatcher;
  /** Watches the connections of the dispatcher. */
  readonly watch: ConnectionWatch;
  /** Accounts the responses. */
  readonly memory: MemoryBudget;
}

/**
 * Creates a link that sends each call as a POST request; its signal aborts the call. All bodies are JSON, so there is
 * no content-type header.
 */
export function createDispatcherLink<Router extends AnyTRPCRouter>(
  sender: CallSender,
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
        const exchange = new RpcExchange(sender, (cause, response) => {
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
          dispatchCall(sender.dispatcher, origin, headers, op, exchange);
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
  private readonly hold: MemoryHold;
  private readonly body: ByteCollector;
  private connection: WatchedConnection | undefined;
  private controller: Dispatcher.DispatchController | undefined;
  private hasEnded = false;

  constructor(
    private readonly sender: CallSender,
    private readonly onEnd: (cause: unknown, response?: ResponseBody) => void,
  ) {
    this.hold = sender.memory.hold(() => this.abort(MEMORY_SPENT));
    this.body = new ByteCollector(this.hold);
  }

  /** Aborts the request. If it is still waiting for a connection, it is never sent. */
  abort(detail = 'the call was aborted'): void {
    if (!this.hasEnded) {
      const cause = new Error(detail);
      this.fail(cause);
      this.controller?.abort(cause);
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

  onResponseStart(): void {
    this.connection = this.sender.watch.current;
  }

  onResponseData(_: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.hasEnded) {
      return;
    }
    this.connection?.recordBody(chunk.length);
    if (this.body.size + chunk.length > MESSAGE_LIMIT_BYTES) {
      this.abort(`response longer than ${MESSAGE_LIMIT_BYTES} bytes`);
    } else if (!this.body.append(chunk)) {
      this.abort(MEMORY_SPENT);
    }
  }

  onResponseEnd(): void {
    this.connection?.recordEnd();
    const text = Buffer.from(this.body.bytes).toString('utf8');
    let response: ResponseBody;
    try {
      response = JSON.parse(text) as ResponseBody;
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
      this.hold.dispose();
      this.onEnd(cause, response);
    }
  }
}
