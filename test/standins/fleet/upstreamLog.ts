import {IncomingMessage, ServerResponse} from 'node:http';

/** What upstreams saw of each request, with the moments at which they worked on it. */

/** How the work on a request ended; `open` while it goes on. */
export type UpstreamEnd =
  /** The upstream wrote its whole response. */
  | 'finished'
  /** The upstream crashed or withheld its response. */
  | 'brokeOff'
  /** The connection closed before the response was whole. */
  | 'closed'
  | 'open';

/** A request at an upstream; times are `performance.now()`. */
export interface UpstreamCall {
  readonly requestId: string;
  readonly upstream: string;
  /** Addresses of all engines that the request passes, or of the upstream itself. */
  readonly path: readonly string[];
  readonly method: string;
  readonly target: string;
  readonly body: string;
  /** When its head arrived. */
  readonly arrivedAt: number;
  /** Whether the upstream executed the request; it refused it otherwise. */
  readonly hasRun: boolean;
  readonly status: number;
  readonly stamp: string | undefined;
  /** First event that the upstream was asked for; 1 without streaming. */
  readonly firstEvent: number;
  endedAt: number | undefined;
  end: UpstreamEnd;
}

/** Records the calls of all upstreams of a system. */
export class UpstreamLog {
  readonly calls: UpstreamCall[] = [];

  /** Records a request whose body has arrived, and its end when the connection closes or the response is written. */
  record(
    request: IncomingMessage,
    response: ServerResponse,
    fields: Pick<
      UpstreamCall,
      'upstream' | 'path' | 'body' | 'arrivedAt' | 'hasRun' | 'status' | 'stamp'
    >,
    isCrashed: () => boolean,
  ): void {
    const call: UpstreamCall = {
      ...fields,
      requestId: String(request.headers['request-id']),
      method: request.method ?? '',
      target: request.url ?? '',
      firstEvent: Number(request.headers['last-event-id'] ?? 0) + 1,
      endedAt: undefined,
      end: 'open',
    };
    this.calls.push(call);
    response.once('close', () => {
      call.endedAt = performance.now();
      if (response.writableFinished) {
        call.end = 'finished';
      } else {
        call.end = isCrashed() ? 'brokeOff' : 'closed';
      }
    });
  }
}
