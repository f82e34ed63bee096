import {IncomingMessage, ServerResponse, STATUS_CODES} from 'node:http';
import {Socket} from 'node:net';

import {Emitter, Event} from '../../../base/common/event.js';
import {
  MEMORY_SPENT,
  MemoryBudget,
  MemoryHold,
} from '../../../base/common/memoryBudget.js';
import {RequestBody} from '../../../infrastructure/http/node/requestBody.js';
import {
  BodyOutcome,
  CallerExchange,
  CallerRequest,
  ResponseHead,
  RouterResponse,
} from '../common/callerExchange.js';

const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;
const OK = 200;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** Decimal places of the retry delay in seconds. */
const RETRY_AFTER_DECIMALS = 3;

/** Reason phrases that are forwarded. Node.js throws on control characters and on text beyond Latin-1. */
const FORWARDED_REASON = /^[\t\x20-\x7e]+$/;

/** Memory for what callers send and have not read yet. */
export interface CallerMemory {
  /** Bodies of requests, from their first byte until the request has ended. */
  readonly requests: MemoryBudget;
  /** Responses that callers have not read. */
  readonly unread: MemoryBudget;
}

/** A caller's request on Node's HTTP server. */
export class HttpCallerExchange extends CallerExchange {
  private readonly disconnected = new Emitter<void>();
  override readonly onDidDisconnect: Event<void> = this.disconnected.event;
  private readonly failed = new Emitter<string>();
  override readonly onDidFail: Event<string> = this.failed.event;
  override readonly request: CallerRequest;
  private hasDisconnected = false;
  private hasEnded = false;
  /** Whether the rest of the body is not read, so that no other request can follow on the connection. */
  private isBodyAbandoned = false;
  private readonly bodyHold: MemoryHold;
  private readonly unreadHold: MemoryHold;
  private resolveBody: (outcome: BodyOutcome) => void = () => undefined;

  constructor(
    private readonly message: IncomingMessage,
    private readonly response: ServerResponse,
    arrival: Pick<CallerRequest, 'receivedAt' | 'connectedAfter'>,
    /** Whether to close the connection after the response. */
    private readonly closesConnection: () => boolean,
    memory: CallerMemory,
  ) {
    super();
    this.bodyHold = memory.requests.hold(() => this.abandonBody('noMemory'));
    this.unreadHold = memory.unread.hold(() => this.giveUpUnread());
    this.request = {
      method: message.method ?? 'GET',
      target: message.url ?? '/',
      headers: message.rawHeaders,
      ...arrival,
    };
    response.on('close', () => this.handleClose());
    this.watchEnd(message.socket);
    // An `error` event on a caller's connection would end the process if it had no listener.
    response.on('error', () => undefined);
    message.on('error', () => undefined);
  }

  override get isOver(): boolean {
    return this.hasDisconnected || this.hasEnded;
  }

  override get hasBegun(): boolean {
    return this.response.headersSent;
  }

  override readBody(limitBytes: number): Promise<BodyOutcome> {
    // The event `close` of a caller that has left is over.
    if (this.message.destroyed) {
      return Promise.resolve({kind: 'callerLeft'});
    }
    return new Promise(resolve => {
      this.resolveBody = resolve;
      const body = new RequestBody(this.message, limitBytes, this.bodyHold);
      this.message.on('data', (chunk: Buffer) => this.collect(body, chunk));
      this.message.on('end', () => {
        this.bodyHold.keep();
        resolve({kind: 'read', body: body.take()});
      });
      this.message.on('close', () => resolve({kind: 'callerLeft'}));
    });
  }

  private collect(body: RequestBody, chunk: Buffer): void {
    if (this.isBodyAbandoned) {
      return;
    }
    const outcome = body.add(chunk);
    if (outcome !== 'added') {
      this.abandonBody(outcome === 'tooLarge' ? 'tooLong' : 'noMemory');
    }
  }

  override stopReading(): void {
    this.isBodyAbandoned = true;
    this.message.pause();
  }

  private abandonBody(kind: 'tooLong' | 'noMemory'): void {
    this.stopReading();
    this.resolveBody({kind});
  }

  override sendResponse(head: ResponseHead, body: Uint8Array): boolean {
    if (this.isOver || this.hasBegun) {
      return true;
    }
    const hasBody = head.status !== NO_CONTENT && head.status !== NOT_MODIFIED;
    const length = hasBody ? ['content-length', String(body.length)] : [];
    return this.guard(() => {
      this.writeHead(head, [...head.headers, ...length]);
      this.endExchange();
      this.response.end(hasBody ? body : undefined);
      this.unreadHold.resize(this.response.writableLength);
    });
  }

  override sendRouterResponse(routerResponse: RouterResponse): void {
    if (this.isOver) {
      return;
    }
    if (this.hasBegun) {
      this.abort();
      return;
    }
    const body = Buffer.from(JSON.stringify({error: routerResponse.reason}));
    const headers = ['content-type', 'application/json'];
    if (routerResponse.kind === 'notRun') {
      const seconds = routerResponse.retryAfterMilliseconds / 1000;
      headers.push('retry-after', formatSeconds(seconds));
    }
    const isBodyUnread =
      routerResponse.kind === 'rejected' && !this.message.complete;
    if (isBodyUnread || this.isBodyAbandoned) {
      headers.push('connection', 'close');
    }
    const status =
      routerResponse.kind === 'notRun' ? UNAVAILABLE : routerResponse.status;
    this.sendResponse({status, reason: '', headers}, body);
  }

  override sendHead(head: ResponseHead): void {
    if (!this.isOver && !this.hasBegun) {
      this.guard(() => {
        this.writeHead(head, head.headers);
        this.response.flushHeaders();
      });
    }
  }

  override write(bytes: Uint8Array): boolean {
    if (this.isOver) {
      return true;
    }
    const isKeepingUp = this.response.write(bytes);
    if (!isKeepingUp) {
      this.unreadHold.resize(this.response.writableLength);
    }
    return isKeepingUp;
  }

  override whenDrained(callback: () => void): void {
    this.response.once('drain', () => {
      this.unreadHold.resize(0);
      callback();
    });
  }

  override end(): void {
    if (!this.isOver) {
      this.endExchange();
      this.response.end();
    }
  }

  override abort(): void {
    if (!this.isOver) {
      this.endExchange();
      this.response.destroy();
    }
  }

  private endExchange(): void {
    this.hasEnded = true;
    this.bodyHold.dispose();
  }

  private writeHead(head: ResponseHead, headers: readonly string[]): void {
    const connectionHeaders = this.closesConnection()
      ? ['connection', 'close']
      : [];
    const {status} = head;
    const reason = FORWARDED_REASON.test(head.reason)
      ? head.reason
      : (STATUS_CODES[status] ?? '');
    this.response.sendDate = false;
    this.response.writeHead(status, reason, [...headers, ...connectionHeaders]);
  }

  /**
   * Ends the exchange with an error if Node.js refuses to write a response, so that no request stays unanswered. Returns
   * whether it was written.
   */
  private guard(write: () => void): boolean {
    try {
      write();
      return true;
    } catch (error) {
      this.endExchange();
      this.sendFailure();
      this.failed.fire(String(error));
      return false;
    }
  }

  private sendFailure(): void {
    if (this.response.headersSent) {
      this.response.destroy();
      return;
    }
    const body = Buffer.from(JSON.stringify({error: 'unwritable response'}));
    this.response
      .writeHead(BAD_GATEWAY, STATUS_CODES[BAD_GATEWAY], [
        'content-type',
        'application/json',
        'content-length',
        String(body.length),
      ])
      .end(body);
  }

  /** Closes the connection of a caller that does not read. */
  private giveUpUnread(): void {
    this.hasEnded = true;
    this.response.destroy();
    this.failed.fire(MEMORY_SPENT);
  }

  /**
   * A caller that has ended its side of the connection gets no response from Node.js. It has left then, some turns of the event loop before
   * the connection is closed.
   */
  private watchEnd(socket: Socket): void {
    const onEnd = (): void => this.handleDisconnect();
    // Each request in progress has a listener; a caller may send several without waiting.
    socket.setMaxListeners(0);
    socket.on('end', onEnd);
    this.response.once('close', () => socket.off('end', onEnd));
  }

  private handleClose(): void {
    this.bodyHold.dispose();
    this.unreadHold.dispose();
    this.handleDisconnect();
  }

  private handleDisconnect(): void {
    if (!this.hasEnded && !this.hasDisconnected) {
      this.hasDisconnected = true;
      this.disconnected.fire();
    }
  }
}

function formatSeconds(seconds: number): string {
  return String(Number(seconds.toFixed(RETRY_AFTER_DECIMALS)));
}

/** Sends a JSON response to an operator or a peer. */
export function sendJson(
  response: ServerResponse,
  body: unknown,
  status = OK,
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
