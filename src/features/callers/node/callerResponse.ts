import {IncomingMessage, ServerResponse} from 'node:http';

import {Clock} from '../../../base/common/clock.js';
import {RequestFailure} from '../../requests/common/failure.js';
import {ResponseContent} from '../common/claimActions.js';
import {
  failureStatus,
  retryAfterSeconds,
  toFailureBody,
} from '../common/failureBody.js';

/** Milliseconds for which a caller may leave a full send buffer unread. */
const STALL_TIMEOUT_MILLISECONDS = 10000;

/** Milliseconds for which a connection stays open after a refusal that left the request body unread. */
const REFUSAL_LINGER_MILLISECONDS = 500;

const JSON_TYPE = 'application/json; charset=utf-8';
const EVENT_TYPE = 'text/event-stream; charset=utf-8';

/** Response header with the request ID that the logs use. */
const REQUEST_ID_HEADER = 'Redwing-Request-Id';

/** A response to a caller. Buffers events only up to the high-water mark of the connection. */
export class CallerResponse {
  constructor(
    private readonly response: ServerResponse,
    private readonly clock: Clock,
    private readonly isLeaving: () => boolean,
    private readonly onDidStall: () => void = () => undefined,
  ) {
    // A write after the caller disconnects emits an error; the `close` event already reports the disconnect.
    response.on('error', () => undefined);
  }

  /** The HTTP status sent, or 0 before the headers are sent. */
  get status(): number {
    return this.response.headersSent ? this.response.statusCode : 0;
  }

  setRequestId(requestId: string): void {
    this.response.setHeader(REQUEST_ID_HEADER, requestId);
  }

  /** Sends a complete response. */
  sendContent(content: ResponseContent): void {
    this.writeHead(content.status, content.contentType, content.body);
    this.endWith(content.body);
  }

  sendJson(status: number, body: unknown): void {
    const text = JSON.stringify(body);
    this.sendContent({status, contentType: JSON_TYPE, body: text});
  }

  /** Sends a failure; closes the connection afterwards when the request body has not been read completely. */
  sendFailure(failure: RequestFailure): void {
    const seconds = retryAfterSeconds(failure);
    if (seconds !== undefined) {
      this.response.setHeader('Retry-After', seconds);
    }
    if (failure.error.kind === 'unauthenticated') {
      this.response.setHeader('WWW-Authenticate', 'Bearer');
    }
    const body = toFailureBody(failure);
    if (!hasUnreadBody(this.response.req)) {
      this.sendJson(failureStatus(failure), body);
      return;
    }
    this.sendAndLinger(failureStatus(failure), JSON.stringify(body));
  }

  /** Sends the headers of an event stream and its first event. */
  startEventStream(firstEvent: string): void {
    this.response.setHeader('Cache-Control', 'no-store');
    this.writeHead(200, EVENT_TYPE);
    this.response.write(firstEvent);
  }

  /** Writes an event. The promise, if any, settles once the send buffer drains or the caller disconnects. */
  writeEvent(event: string): void | Promise<void> {
    if (this.response.destroyed || this.response.write(event)) {
      return undefined;
    }
    return this.waitForDrain();
  }

  /** Ends the response; drops the connection if the caller doesn't read the rest in time. */
  endWith(finalChunk: string): void {
    const timer = this.clock.setTimer(STALL_TIMEOUT_MILLISECONDS, () =>
      this.response.destroy(),
    );
    this.response.once('close', () => timer.dispose());
    this.response.end(finalChunk, () => timer.dispose());
  }

  /** Drops the connection without completing the response. */
  destroy(): void {
    this.response.destroy();
  }

  private writeHead(status: number, contentType: string, body?: string): void {
    this.response.statusCode = status;
    this.response.setHeader('Content-Type', contentType);
    if (body !== undefined && body !== '') {
      this.response.setHeader('Content-Length', Buffer.byteLength(body));
    }
    if (this.isLeaving()) {
      this.response.setHeader('Connection', 'close');
    }
  }

  /** Delays the close: closing a socket with unread input resets the connection, which can lose the response. */
  private sendAndLinger(status: number, body: string): void {
    this.response.req.pause();
    this.response.setHeader('Connection', 'close');
    this.writeHead(status, JSON_TYPE, body);
    this.response.write(body);
    const timer = this.clock.setTimer(REFUSAL_LINGER_MILLISECONDS, () =>
      this.response.end(),
    );
    this.response.once('close', () => timer.dispose());
  }

  private waitForDrain(): Promise<void> {
    return new Promise(resolve => {
      const timer = this.clock.setTimer(STALL_TIMEOUT_MILLISECONDS, () => {
        this.onDidStall();
        settle();
      });
      const settle = () => {
        timer.dispose();
        this.response.off('drain', settle);
        this.response.off('close', settle);
        resolve();
      };
      this.response.once('drain', settle);
      this.response.once('close', settle);
    });
  }
}

function hasUnreadBody(request: IncomingMessage): boolean {
  const {headers} = request;
  const hasBody =
    headers['transfer-encoding'] !== undefined ||
    Number(headers['content-length'] ?? 0) > 0;
  return hasBody && !request.complete;
}
