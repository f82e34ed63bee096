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
        const controller = new AbortController();
        let isDone = false;
        // Aborting costs an exception, so only while the call runs.
        const abort = (): void => {
          if (!isDone) {
            controller.abort();
          }
        };
        if (op.signal?.aborted) {
          abort();
        }
        op.signal?.addEventListener('abort', abort, {once: true});
        send(dispatcher, origin, headers, op, controller.signal)
          .then(({result}) => {
            isDone = true;
            observer.next({result: {type: 'data', data: result?.data}});
            observer.complete();
          })
          .catch(cause => {
            isDone = true;
            observer.error(clientError<Router>(cause));
          })
          .finally(() => op.signal?.removeEventListener('abort', abort));
        return abort;
      });
}

/** What the server said went wrong. */
class AnsweredError extends Error {
  constructor(readonly body: AnswerBody) {
    super('the peer answered with an error');
  }
}

async function send(
  dispatcher: Dispatcher,
  origin: string,
  headers: Readonly<Record<string, string>>,
  operation: Operation,
  signal: AbortSignal,
): Promise<AnswerBody> {
  const {body} = await dispatcher.request({
    origin,
    path: `/${operation.path}`,
    method: 'POST',
    headers,
    body: JSON.stringify(operation.input) ?? '',
    signal,
  });
  const answer = (await body.json()) as AnswerBody;
  if (answer.error !== undefined) {
    throw new AnsweredError(answer);
  }
  return answer;
}

function clientError<Router extends AnyTRPCRouter>(
  cause: unknown,
): TRPCClientError<Router> {
  const source = cause instanceof AnsweredError ? cause.body : cause;
  return TRPCClientError.from<Router>(source as Error);
}
