import {buildConnector, Client, Dispatcher, Pool} from 'undici';

import {DisposableOwner, toDisposable} from '../../../base/common/lifecycle.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {
  AnswerListener,
  UpstreamConnector,
  UpstreamExchange,
  UpstreamRequest,
} from '../common/upstreamExchange.js';
import {HttpUpstreamExchange} from './httpUpstreamExchange.js';
import {ResetWatch} from './resetWatch.js';

/** Longest time of a connection attempt; each request has a shorter bound of its own. */
const CONNECT_MILLISECONDS = 1_000;

/** Idle connections are given up early where an upstream does not say how long it keeps them. */
const KEEP_ALIVE_MILLISECONDS = 800;

/** How much earlier than an upstream says its idle connections are given up. */
const KEEP_ALIVE_MARGIN_MILLISECONDS = 500;

/** Requests at once on one upstream by one instance; more wait for a connection. */
const CONNECTION_LIMIT = 256;

const HEADER_LIMIT_BYTES = 64 * 1024;

/** Exchanges over HTTP/1.1 by undici, one request at a time on a connection. */
export class HttpUpstreamConnector
  extends DisposableOwner
  implements UpstreamConnector
{
  private readonly pools = new Map<string, Pool>();
  private readonly resets = new ResetWatch();

  constructor() {
    super();
    this.register(
      toDisposable(() => this.pools.forEach(pool => void pool.destroy())),
    );
  }

  open(
    upstream: Upstream,
    request: UpstreamRequest,
    listener: AnswerListener,
  ): UpstreamExchange {
    const dispatcher = request.isAlone
      ? this.createClient(upstream)
      : this.poolOf(upstream);
    const exchange = new HttpUpstreamExchange(
      listener,
      this.resets,
      request.isAlone ? dispatcher : undefined,
    );
    exchange.start(dispatcher, request);
    return exchange;
  }

  /** Closes the idle connections of upstreams that are gone. */
  retain(isKept: (upstream: string) => boolean): void {
    for (const [id, pool] of this.pools) {
      if (!isKept(id)) {
        this.pools.delete(id);
        void pool.close();
      }
    }
  }

  private poolOf(upstream: Upstream): Pool {
    let pool = this.pools.get(upstream.id);
    if (pool === undefined) {
      pool = new Pool(`http://${upstream.address}`, {
        ...this.options(),
        connections: CONNECTION_LIMIT,
      });
      this.pools.set(upstream.id, pool);
    }
    return pool;
  }

  private createClient(upstream: Upstream): Dispatcher {
    return new Client(`http://${upstream.address}`, this.options());
  }

  private options(): Client.Options {
    return {
      pipelining: 1,
      connect: this.resets.watch(
        buildConnector({timeout: CONNECT_MILLISECONDS}),
      ),
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MILLISECONDS,
      maxHeaderSize: HEADER_LIMIT_BYTES,
      // Requests have their own time limits, finer than the client's timers.
      headersTimeout: 0,
      bodyTimeout: 0,
    };
  }
}
