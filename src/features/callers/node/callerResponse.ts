import {IncomingMessage, ServerResponse} from 'node:http';

import {Clock} from '../../../base/common/clock.js';
import {RequestFailure} from '../../requests/common/failure.js';
import {CallerAnswer} from '../common/claimAnswers.js';
import {
  failureStatus,
  retryAfterSeconds,
  toFailureBody,
} from '../common/failureBody.js';

/** Milliseconds for which a caller may leave a full buffer unread. */
const STALL_LIMIT_MILLISECONDS = 10000;

/** Milliseconds for which a connection stays open after a refusal whose request was not read whole. */
const LINGER_MILLISECONDS = 500;

const JSON_TYPE = 'application/json; charset=utf-8';
const EVENT_TYPE = 'text/event-stream; charset=utf-8';

/** Header that names the request in answers and logs. */
const REQUEST_ID_HEADER = 'Redwing-Request-Id';

/** One answer to a caller; buffers at most what the connection's high-water mark allows. */
export class CallerResponse {
  constructor(
    private readonly response: ServerResponse,
    private readonly clock: Clock,
    private readonly isLeaving: () => boolean,
    private readonly onDidStall: () => void = () => undefined,
  ) {
    // A write that races with the caller's going reports it as an error event; `close` tells it already.
    response.on('error', () => undefined);
  }

  /** The status sent, or 0 when none was. */
  get status(): number {
    return this.response.headersSent ? this.response.statusCode : 0;
  }

  setRequestId(requestId: string): void {
    this.response.setHeader(REQUEST_ID_HEADER, requestId);
  }

  /** Sends a whole answer. */
  sendWhole(answer: CallerAnswer): void {
    this.writeHead(answer.status, answer.contentType, answer.body);
    this.finish(answer.body);
  }

  /** Sends a JSON body. */
  sendJson(status: number, body: unknown): void {
    const text = JSON.stringify(body);
    this.sendWhole({status, contentType: JSON_TYPE, body: text});
  }

  /** Sends a failure. When the request's body was left unread the connection closes after it. */
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

  /** Starts a stream of events. */
  openEvents(firstEvent: string): void {
    this.response.setHeader('Cache-Control', 'no-store');
    this.writeHead(200, EVENT_TYPE);
    this.response.write(firstEvent);
  }

  /** Writes an event; the promise holds until the caller has read enough, or has gone. */
  writeEvent(event: string): void | Promise<void> {
    if (this.response.destroyed || this.response.write(event)) {
      return undefined;
    }
    return this.drained();
  }

  /** Ends the answer. */
  finish(last: string): void {
    const timer = this.clock.setTimer(STALL_LIMIT_MILLISECONDS, () =>
      this.response.destroy(),
    );
    this.response.once('close', () => timer.dispose());
    this.response.end(last, () => timer.dispose());
  }

  /** Closes the connection without an orderly end. */
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

  /** Closing at once with unread input would reset the connection and could lose the answer. */
  private sendAndLinger(status: number, body: string): void {
    this.response.req.pause();
    this.response.setHeader('Connection', 'close');
    this.writeHead(status, JSON_TYPE, body);
    this.response.write(body);
    const timer = this.clock.setTimer(LINGER_MILLISECONDS, () =>
      this.response.end(),
    );
    this.response.once('close', () => timer.dispose());
  }

  private drained(): Promise<void> {
    return new Promise(resolve => {
      const timer = this.clock.setTimer(STALL_LIMIT_MILLISECONDS, () => {
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
  const announced =
    headers['transfer-encoding'] !== undefined ||
    Number(headers['content-length'] ?? 0) > 0;
  return announced && !request.complete;
}
