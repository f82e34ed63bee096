import {IncomingMessage, ServerResponse} from 'node:http';

import {Emitter, Event} from '../../../base/common/event.js';
import {
  AnswerHead,
  CallerExchange,
  CallerRequest,
  RouterAnswer,
} from '../common/callerExchange.js';

const UNAVAILABLE = 503;
const OK = 200;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** Decimals of seconds that callers are told. */
const RETRY_AFTER_DECIMALS = 3;

/** A caller's request on Node's HTTP server. */
export class HttpCallerExchange extends CallerExchange {
  private readonly left = new Emitter<void>();
  override readonly onDidLeave: Event<void> = this.left.event;
  override readonly request: CallerRequest;
  private hasLeft = false;
  private hasEnded = false;

  constructor(
    private readonly message: IncomingMessage,
    private readonly response: ServerResponse,
    receivedAt: number,
    /** Whether the connection is to be closed after the answer. */
    private readonly closesAfterAnswer: () => boolean,
  ) {
    super();
    this.request = {
      method: message.method ?? 'GET',
      target: message.url ?? '/',
      headers: message.rawHeaders,
      receivedAt,
    };
    response.on('close', () => this.noteClosed());
    // Without a listener an error on a caller's connection would end the process.
    response.on('error', () => undefined);
    message.on('error', () => undefined);
  }

  override get isOver(): boolean {
    return this.hasLeft || this.hasEnded;
  }

  override get hasBegun(): boolean {
    return this.response.headersSent;
  }

  override readBody(limitBytes: number): Promise<Uint8Array | undefined> {
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

  override sendWhole(head: AnswerHead, body: Uint8Array): void {
    if (this.isOver || this.hasBegun) {
      return;
    }
    const hasBody = head.status !== NO_CONTENT && head.status !== NOT_MODIFIED;
    const length = hasBody ? ['content-length', String(body.length)] : [];
    this.writeHead(head, [...head.headers, ...length]);
    this.hasEnded = true;
    this.response.end(hasBody ? body : undefined);
  }

  override sendOwn(answer: RouterAnswer): void {
    if (this.isOver) {
      return;
    }
    if (this.hasBegun) {
      this.breakOff();
      return;
    }
    const body = Buffer.from(JSON.stringify({error: answer.reason}));
    const headers = ['content-type', 'application/json'];
    if (answer.kind === 'notRun') {
      const seconds = answer.retryAfterMilliseconds / 1000;
      headers.push('retry-after', formatSeconds(seconds));
    }
    if (answer.kind === 'rejected' && !this.message.complete) {
      headers.push('connection', 'close');
    }
    const status = answer.kind === 'notRun' ? UNAVAILABLE : answer.status;
    this.sendWhole({status, reason: '', headers}, body);
  }

  override begin(head: AnswerHead): void {
    if (!this.isOver && !this.hasBegun) {
      this.writeHead(head, head.headers);
      this.response.flushHeaders();
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

  override breakOff(): void {
    if (!this.isOver) {
      this.hasEnded = true;
      this.response.destroy();
    }
  }

  private writeHead(head: AnswerHead, headers: readonly string[]): void {
    const closing = this.closesAfterAnswer() ? ['connection', 'close'] : [];
    const all = [...headers, ...closing];
    const {status, reason} = head;
    this.response.sendDate = false;
    if (reason === '') {
      this.response.writeHead(status, all);
    } else {
      this.response.writeHead(status, reason, all);
    }
  }

  private noteClosed(): void {
    if (!this.hasEnded && !this.hasLeft) {
      this.hasLeft = true;
      this.left.fire();
    }
  }
}

function formatSeconds(seconds: number): string {
  return String(Number(seconds.toFixed(RETRY_AFTER_DECIMALS)));
}

/** Answers a request of an operator or a peer with a status and JSON. */
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
