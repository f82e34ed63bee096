import {IncomingMessage, ServerResponse, STATUS_CODES} from 'node:http';

import {Emitter, Event} from '../../../base/common/event.js';
import {
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

/** A caller's request on Node's HTTP server. */
export class HttpCallerExchange extends CallerExchange {
  private readonly disconnected = new Emitter<void>();
  override readonly onDidDisconnect: Event<void> = this.disconnected.event;
  private readonly failed = new Emitter<string>();
  override readonly onDidFail: Event<string> = this.failed.event;
  override readonly request: CallerRequest;
  private hasDisconnected = false;
  private hasEnded = false;

  constructor(
    private readonly message: IncomingMessage,
    private readonly response: ServerResponse,
    receivedAt: number,
    /** Whether to close the connection after the response. */
    private readonly closesConnection: () => boolean,
  ) {
    super();
    this.request = {
      method: message.method ?? 'GET',
      target: message.url ?? '/',
      headers: message.rawHeaders,
      receivedAt,
    };
    response.on('close', () => this.handleClose());
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

  override readBody(limitBytes: number): Promise<Uint8Array | undefined> {
    // The event `close` of a caller that has left is over.
    if (this.message.destroyed) {
      return Promise.resolve(undefined);
    }
    return new Promise(resolve => {
      const chunks: Buffer[] = [];
      let size = 0;
      this.message.on('data', (chunk: Buffer) => {
        size += chunk.length;
        if (size > limitBytes) {
          this.message.pause();
          resolve(undefined);
          return;
        }
        chunks.push(chunk);
      });
      this.message.on('end', () => resolve(Buffer.concat(chunks)));
      this.message.on('close', () => resolve(undefined));
    });
  }

  override sendResponse(head: ResponseHead, body: Uint8Array): boolean {
    if (this.isOver || this.hasBegun) {
      return true;
    }
    const hasBody = head.status !== NO_CONTENT && head.status !== NOT_MODIFIED;
    const length = hasBody ? ['content-length', String(body.length)] : [];
    return this.guard(() => {
      this.writeHead(head, [...head.headers, ...length]);
      this.hasEnded = true;
      this.response.end(hasBody ? body : undefined);
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
    if (routerResponse.kind === 'rejected' && !this.message.complete) {
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
    return this.isOver || this.response.write(bytes);
  }

  override whenDrained(callback: () => void): void {
    this.response.once('drain', callback);
  }

  override end(): void {
    if (!this.isOver) {
      this.hasEnded = true;
      this.response.end();
    }
  }

  override abort(): void {
    if (!this.isOver) {
      this.hasEnded = true;
      this.response.destroy();
    }
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
      this.hasEnded = true;
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

  private handleClose(): void {
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
