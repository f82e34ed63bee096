import {Client, Dispatcher, Pool} from 'undici';

import {Clock} from '../../../base/common/clock.js';
import {EventLoop} from '../../../base/common/eventLoop.js';
import {DisposableOwner, toDisposable} from '../../../base/common/lifecycle.js';
import {ConnectionWatch} from '../../../infrastructure/http/node/connectionWatch.js';
import {Dialer} from '../../../infrastructure/http/node/dialer.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {
  ResponseListener,
  UpstreamConnector,
  UpstreamExchange,
  UpstreamRequest,
} from '../common/upstreamExchange.js';
import {HttpUpstreamExchange} from './httpUpstreamExchange.js';

/** Idle connections are closed early if the upstream does not state its keep-alive timeout. */
const DEFAULT_KEEP_ALIVE_MILLISECONDS = 800;

/** Idle connections are closed this long before the keep-alive timeout that the upstream states. */
const KEEP_ALIVE_MARGIN_MILLISECONDS = 500;

/** Maximum concurrent requests of this instance to one upstream; further requests wait for a connection. */
const CONNECTION_LIMIT = 256;

const HEADER_LIMIT_BYTES = 64 * 1024;

interface UpstreamPool {
  readonly pool: Pool;
  /** Address `IP:port` of its upstream. */
  readonly address: string;
}

/** Sends requests over HTTP/1.1 with undici, one at a time on a connection. */
export class HttpUpstreamConnector
  extends DisposableOwner
  implements UpstreamConnector
{
  private readonly pools = new Map<string, UpstreamPool>();
  private readonly connectionWatch = new ConnectionWatch();

  constructor(
    private readonly dialer: Dialer,
    private readonly clock: Clock,
    private readonly eventLoop: EventLoop,
  ) {
    super();
    this.register(
      toDisposable(() => this.pools.forEach(({pool}) => void pool.destroy())),
    );
    this.register(dialer.onDidChangeWay(address => this.replacePools(address)));
  }

  open(
    upstream: Upstream,
    request: UpstreamRequest,
    listener: ResponseListener,
  ): UpstreamExchange {
    const exchange = new HttpUpstreamExchange(
      listener,
      request.isAlone ? this.createClient(upstream) : this.poolOf(upstream),
      request,
      this.clock,
      this.eventLoop,
      this.connectionWatch,
    );
    exchange.start();
    return exchange;
  }

  /** Closes the pools of upstreams that the predicate rejects, once their requests have ended. */
  retain(isKept: (upstream: string) => boolean): void {
    this.close(id => !isKept(id));
  }

  /** Closes pools whose new connections take another way; running requests continue on the old connections. */
  private replacePools(changed: string | undefined): void {
    this.close((_, address) => changed === undefined || address === changed);
  }

  /** Closes pools once their requests have ended. */
  private close(isClosed: (id: string, address: string) => boolean): void {
    for (const [id, {pool, address}] of this.pools) {
      if (isClosed(id, address)) {
        this.pools.delete(id);
        void pool.close();
      }
    }
  }

  private poolOf(upstream: Upstream): Pool {
    const known = this.pools.get(upstream.id);
    if (known !== undefined) {
      return known.pool;
    }
    const {address} = upstream;
    const pool = new Pool(`http://${address}`, {
      ...this.options(),
      connections: CONNECTION_LIMIT,
    });
    this.pools.set(upstream.id, {pool, address});
    return pool;
  }

  private createClient(upstream: Upstream): Dispatcher {
    return new Client(`http://${upstream.address}`, this.options());
  }

  private options(): Client.Options {
    return {
      pipelining: 1,
      connect: this.connectionWatch.watch(this.dialer.connect),
      keepAliveTimeout: DEFAULT_KEEP_ALIVE_MILLISECONDS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MILLISECONDS,
      maxHeaderSize: HEADER_LIMIT_BYTES,
      // Requests have their own timeouts, which are more precise than the client's timers.
      headersTimeout: 0,
      bodyTimeout: 0,
    };
  }
}
