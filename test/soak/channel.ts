import {Agent, ClientRequest, IncomingMessage, request} from 'node:http';
import {Socket} from 'node:net';

import {parseAddress} from '../../src/infrastructure/rpc/node/rpc.js';
import {API_KEY} from '../standins/fleet/system.js';
import {sleep} from '../support/sleep.js';
import {Attempt} from './history.js';

/** A caller's connection to an instance, which serves one request at a time and is kept until the other end closes it. */

const CONNECT_MILLISECONDS = 1_000;

/** Callers abandon a stream after a gap of this length. */
const GAP_MILLISECONDS = 2_000;

/** How a caller handles one request beyond the usual. */
export interface Manner {
  /** The caller closes the connection after this time. */
  readonly leavesAfterMilliseconds: number | undefined;
  /** The second half of the body is sent after this time. */
  readonly bodyDelayMilliseconds: number;
  /** The caller stops reading once for this time. */
  readonly readPauseMilliseconds: number;
}

/** A connection; it opens with its first request. */
export class Channel {
  private readonly agent = new Agent({keepAlive: true, maxSockets: 1});
  private socket: Socket | undefined;
  isBusy = false;
  isClosed = false;
  hasServed = false;

  constructor(readonly address: string) {}

  /** Sends an attempt and records what the caller sees; resolves when it has ended, with the response headers. */
  async send(
    attempt: Attempt,
    manner: Manner,
  ): Promise<IncomingMessage['headers']> {
    this.isBusy = true;
    const exchange = new Exchange(this.open(attempt), attempt, manner);
    exchange.request.once('socket', socket => this.watch(socket));
    const headers = await exchange.run();
    this.hasServed = true;
    this.isBusy = false;
    this.isClosed ||= attempt.end.kind !== 'answered';
    this.isClosed ||= this.socket === undefined || this.socket.destroyed;
    return headers;
  }

  close(): void {
    this.isClosed = true;
    this.agent.destroy();
  }

  private watch(socket: Socket): void {
    if (this.socket === undefined) {
      this.socket = socket;
      socket.once('close', () => (this.isClosed = true));
    }
  }

  private open(attempt: Attempt): ClientRequest {
    const {host, port} = parseAddress(this.address);
    const {firstEvent, lastEvent} = attempt;
    const resumed =
      firstEvent > 1 ? {'last-event-id': String(firstEvent - 1)} : {};
    return request({
      agent: this.agent,
      host,
      port,
      method: attempt.method,
      path: attempt.target,
      headers: {
        host: 'host.example',
        'request-id': attempt.requestId,
        'deadline-ms': String(attempt.timeLimitMilliseconds),
        'token-count': `100,${Math.max(1, lastEvent)}`,
        'content-length': String(Buffer.byteLength(attempt.body)),
        authorization: `Bearer ${API_KEY}`,
        ...resumed,
      },
    });
  }
}

/** One request and its response on a channel. */
class Exchange {
  private readonly timers: NodeJS.Timeout[] = [];
  private isConnected = false;
  private gapTimer: NodeJS.Timeout | undefined;
  private headers: IncomingMessage['headers'] = {};
  private resolve: (headers: IncomingMessage['headers']) => void = () =>
    undefined;

  constructor(
    readonly request: ClientRequest,
    private readonly attempt: Attempt,
    private readonly manner: Manner,
  ) {}

  run(): Promise<IncomingMessage['headers']> {
    const {attempt, request: outgoing} = this;
    outgoing.on('error', (error: NodeJS.ErrnoException) =>
      this.endCut(error.message.includes('ECONNRESET') || isWrite(error)),
    );
    outgoing.once('finish', () => (attempt.sentAt = performance.now()));
    outgoing.once('response', response => this.read(response));
    this.scheduleEnds();
    void this.sendBody();
    return new Promise(resolve => (this.resolve = resolve));
  }

  private async sendBody(): Promise<void> {
    const {body} = this.attempt;
    const half = body.length >> 1;
    if (this.manner.bodyDelayMilliseconds > 0) {
      this.request.write(body.slice(0, half));
      await sleep(this.manner.bodyDelayMilliseconds);
      this.request.end(body.slice(half));
    } else {
      this.request.end(body);
    }
  }

  private scheduleEnds(): void {
    const {timeLimitMilliseconds} = this.attempt;
    const {leavesAfterMilliseconds} = this.manner;
    this.leaveAfter(timeLimitMilliseconds, 'timeLimit');
    if (leavesAfterMilliseconds !== undefined) {
      this.leaveAfter(leavesAfterMilliseconds, 'early');
    }
    this.request.once('socket', socket => {
      this.isConnected = !socket.connecting;
      if (this.isConnected) {
        return;
      }
      const timer = setTimeout(
        () => this.end({kind: 'notConnected'}),
        CONNECT_MILLISECONDS,
      );
      socket.once('connect', () => {
        this.isConnected = true;
        clearTimeout(timer);
      });
      this.timers.push(timer);
    });
  }

  private leaveAfter(
    milliseconds: number,
    why: 'timeLimit' | 'early' | 'gap',
  ): NodeJS.Timeout {
    const timer = setTimeout(() => this.end({kind: 'left', why}), milliseconds);
    this.timers.push(timer);
    return timer;
  }

  private read(response: IncomingMessage): void {
    const {attempt} = this;
    attempt.status = response.statusCode;
    attempt.stamp = response.headers['route-stamp']?.toString();
    this.headers = response.headers;
    this.expectMore();
    let isFirst = true;
    response.on('data', (chunk: Buffer) => {
      attempt.response += chunk.toString();
      this.expectMore();
      if (isFirst && this.manner.readPauseMilliseconds > 0) {
        this.pause(response);
      }
      isFirst = false;
    });
    response.once('error', error =>
      this.endCut(error.message.includes('read ECONNRESET')),
    );
    response.once('close', () =>
      response.complete ? this.end({kind: 'answered'}) : this.endCut(false),
    );
  }

  private pause(response: IncomingMessage): void {
    clearTimeout(this.gapTimer);
    response.pause();
    const timer = setTimeout(() => {
      response.resume();
      this.expectMore();
    }, this.manner.readPauseMilliseconds);
    this.timers.push(timer);
  }

  /** A stream that stands still too long is abandoned. */
  private expectMore(): void {
    clearTimeout(this.gapTimer);
    if (this.attempt.lastEvent > 0) {
      this.gapTimer = this.leaveAfter(GAP_MILLISECONDS, 'gap');
    }
  }

  private endCut(isReset: boolean): void {
    this.end(
      this.isConnected ? {kind: 'cut', isReset} : {kind: 'notConnected'},
    );
  }

  private end(end: Attempt['end']): void {
    const {attempt} = this;
    if (attempt.end.kind !== 'open') {
      return;
    }
    attempt.end = end;
    attempt.endedAt = performance.now();
    this.timers.forEach(timer => clearTimeout(timer));
    clearTimeout(this.gapTimer);
    if (end.kind !== 'answered') {
      this.request.destroy();
    }
    this.resolve(this.headers);
  }
}

function isWrite({code}: NodeJS.ErrnoException): boolean {
  return code === 'EPIPE';
}
