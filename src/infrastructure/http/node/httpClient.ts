import {Pool} from 'undici';

import {CancellationToken} from '../../../base/common/cancellation.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {HttpCall, HttpExchange, HttpOutcome} from './httpExchange.js';

/** Bounds of the connections to one address. */
export interface HttpClientOptions {
  /** Open connections at most; each carries one call at a time. */
  readonly connections: number;
  /** Calls in progress or waiting for a connection at most. */
  readonly waitingLimit: number;
  readonly connectMilliseconds: number;
  /** Whole time of a call, used where the call names none. */
  readonly callMilliseconds: number;
  /** Longest answer in bytes. */
  readonly answerLimitBytes: number;
}

/** Bounds that fit small control calls. */
const defaultHttpClientOptions: HttpClientOptions = {
  connections: 8,
  waitingLimit: 512,
  connectMilliseconds: 1000,
  callMilliseconds: 5000,
  answerLimitBytes: 8 * 1024 * 1024,
};

/**
 * Calls one address over HTTP/1.1. Connections are kept open; pipelining is off, since the pool would
 * send pipelined calls again after a broken connection.
 */
export class HttpClient implements Disposable {
  private readonly pool: Pool;
  private readonly options: HttpClientOptions;
  private inProgress = 0;
  private disposed = false;

  constructor(address: string, options: Partial<HttpClientOptions> = {}) {
    this.options = {...defaultHttpClientOptions, ...options};
    this.pool = new Pool(`http://${address}`, {
      connections: this.options.connections,
      pipelining: 1,
      connect: {timeout: this.options.connectMilliseconds},
      // Each exchange keeps its own time limit, finer than the pool's timers.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Makes one call, never repeats it; settles by the call's time limit or on cancellation. */
  async send(call: HttpCall, token: CancellationToken): Promise<HttpOutcome> {
    if (token.isCancelled) {
      return {kind: 'cancelled', sent: false};
    }
    if (this.disposed) {
      return {kind: 'notSent', detail: 'the connection was closed'};
    }
    if (this.inProgress >= this.options.waitingLimit) {
      return {kind: 'tooMany', limit: this.options.waitingLimit};
    }
    this.inProgress++;
    try {
      const exchange = new HttpExchange(
        this.pool,
        call.milliseconds ?? this.options.callMilliseconds,
        this.options.answerLimitBytes,
      );
      return await exchange.run(call, token);
    } finally {
      this.inProgress--;
    }
  }

  /** Whether no call is in progress. */
  get isIdle(): boolean {
    return this.inProgress === 0;
  }

  dispose(): void {
    this.disposed = true;
    void this.pool.destroy();
  }
}
