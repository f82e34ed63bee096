import {buildConnector, Client, Dispatcher, Pool} from 'undici';

import {DisposableOwner, toDisposable} from '../../../base/common/lifecycle.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {
  ResponseListener,
  UpstreamConnector,
  UpstreamExchange,
  UpstreamRequest,
} from '../common/upstreamExchange.js';
import {HttpUpstreamExchange} from './httpUpstreamExchange.js';
import {ResetDetector} from './resetDetector.js';

/** Maximum time of a connection attempt; each request has a shorter timeout of its own. */
const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/** Idle connections are closed early if the upstream does not state its keep-alive timeout. */
const DEFAULT_KEEP_ALIVE_MILLISECONDS = 800;

/** Idle connections are closed this long before the keep-alive timeout that the upstream states. */
const KEEP_ALIVE_MARGIN_MILLISECONDS = 500;

/** Maximum concurrent requests of this instance to one upstream; further requests wait for a connection. */
const CONNECTION_LIMIT = 256;

const HEADER_LIMIT_BYTES = 64 * 1024;

/** Sends requests over HTTP/1.1 with undici, one at a time on a connection. */
export class HttpUpstreamConnector
  extends DisposableOwner
  implements UpstreamConnector
{
  private readonly pools = new Map<string, Pool>();
  private readonly resetDetector = new ResetDetector();

  constructor() {
    super();
    this.register(
      toDisposable(() => this.pools.forEach(pool => void pool.destroy())),
    );
  }

  open(
    upstream: Upstream,
    request: UpstreamRequest,
    listener: ResponseListener,
  ): UpstreamExchange {
    const dispatcher = request.isAlone
      ? this.createClient(upstream)
      : this.poolOf(upstream);
    const exchange = new HttpUpstreamExchange(
      listener,
      this.resetDetector,
      request.isAlone ? dispatcher : undefined,
    );
    exchange.start(dispatcher, request);
    return exchange;
  }

  /** Closes the pools of upstreams that the predicate rejects, once their requests have ended. */
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
      connect: this.resetDetector.watch(
        buildConnector({timeout: CONNECT_TIMEOUT_MILLISECONDS}),
      ),
      keepAliveTimeout: DEFAULT_KEEP_ALIVE_MILLISECONDS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MILLISECONDS,
      maxHeaderSize: HEADER_LIMIT_BYTES,
      // Requests have their own timeouts, which are more precise than the client's timers.
      headersTimeout: 0,
      bodyTimeout: 0,
    };
  }
}
