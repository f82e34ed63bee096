import {buildConnector, Pool} from 'undici';

import {CancellationToken} from '../../../base/common/cancellation.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {MemoryBudget} from '../../../base/common/memoryBudget.js';
import {ConnectionWatch} from './connectionWatch.js';
import {
  HttpExchange,
  HttpOutcome,
  HttpRequest,
  TransferLimits,
} from './httpExchange.js';

/** Limits of the requests to one address. */
export interface HttpClientOptions {
  /** Maximum number of open connections; each carries one request at a time. */
  readonly connections: number;
  /** Maximum number of requests in progress or waiting for a connection. */
  readonly maxPendingRequests: number;
  readonly connectMilliseconds: number;
  /** Opens connections instead of the pool itself. */
  readonly connect?: buildConnector.connector;
  /** Time limit of requests that do not specify one. */
  readonly callMilliseconds: number;
  /** By default, a whole response must arrive within the time limit of its call. */
  readonly transfer?: TransferLimits;
  /** Maximum size of a response body. */
  readonly maxResponseBytes: number;
  /** Accounts response bodies. */
  readonly memory: MemoryBudget;
}

/** Suitable for small control requests. */
const defaultHttpClientOptions: HttpClientOptions = {
  connections: 8,
  maxPendingRequests: 512,
  connectMilliseconds: 1000,
  callMilliseconds: 5000,
  maxResponseBytes: 8 * 1024 * 1024,
  memory: new MemoryBudget(Infinity),
};

/**
 * Sends requests to one address over HTTP/1.1. Connections are kept open. Pipelining is disabled, since the pool would
 * resend pipelined requests after a connection failure.
 */
export class HttpClient implements Disposable {
  private readonly pool: Pool;
  private readonly connectionWatch = new ConnectionWatch();
  private readonly options: HttpClientOptions;
  private inProgress = 0;
  private disposed = false;

  constructor(address: string, options: Partial<HttpClientOptions> = {}) {
    this.options = {...defaultHttpClientOptions, ...options};
    const connect =
      this.options.connect ??
      buildConnector({timeout: this.options.connectMilliseconds});
    this.pool = new Pool(`http://${address}`, {
      connections: this.options.connections,
      pipelining: 1,
      connect: this.connectionWatch.watch(connect),
      // Each exchange has its own timer, which is more precise than the pool's.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Sends a request once, without retries. Resolves within the time limit or on cancellation. */
  async send(
    request: HttpRequest,
    token: CancellationToken,
  ): Promise<HttpOutcome> {
    if (token.isCancelled) {
      return {kind: 'cancelled', sent: false};
    }
    if (this.disposed) {
      return {kind: 'notSent', detail: 'the connection was closed'};
    }
    if (this.inProgress >= this.options.maxPendingRequests) {
      return {kind: 'tooMany', limit: this.options.maxPendingRequests};
    }
    this.inProgress++;
    try {
      const exchange = new HttpExchange(
        this.pool,
        this.connectionWatch,
        this.options.memory,
        request.milliseconds ?? this.options.callMilliseconds,
        this.options.transfer,
        this.options.maxResponseBytes,
      );
      return await exchange.run(request, token);
    } finally {
      this.inProgress--;
    }
  }

  /** Whether no request is in progress or waiting. */
  get isIdle(): boolean {
    return this.inProgress === 0;
  }

  dispose(): void {
    this.disposed = true;
    void this.pool.destroy();
  }
}
