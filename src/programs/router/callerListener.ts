import {createServer, Server} from 'node:http';

import restana from 'restana';

import {Clock} from '../../base/common/clock.js';
import {HttpCallerExchange} from '../../features/forwarding/node/httpCallerExchange.js';
import {RequestHandler} from '../../features/forwarding/node/requestHandler.js';
import {TrafficLimits} from '../../features/traffic/common/trafficConfiguration.js';
import {listen} from '../../infrastructure/http/node/textServer.js';
import {Logger} from '../../infrastructure/logging/common/logger.js';

/** Longest headers that the parser takes; the configured limit, which may change, is checked after it. */
const PARSER_HEADER_BYTES = 64 * 1024;

/** How often connections are checked for time limits. */
const CHECK_MILLISECONDS = 1_000;

/** Time limits until the first configuration is known. */
const FIRST_IDLE_MILLISECONDS = 15_000;
const FIRST_HEADER_MILLISECONDS = 10_000;

/** The callers' HTTP server. */
export class CallerListener {
  private readonly server: Server;
  private isClosing = false;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly handler: RequestHandler,
    connectionLimit: number,
  ) {
    this.server = createServer({
      maxHeaderSize: PARSER_HEADER_BYTES,
      keepAliveTimeout: FIRST_IDLE_MILLISECONDS,
      headersTimeout: FIRST_HEADER_MILLISECONDS,
      // Bodies are bounded by the deadline of their request.
      requestTimeout: 0,
      connectionsCheckingInterval: CHECK_MILLISECONDS,
      noDelay: true,
    });
    this.server.maxConnections = connectionLimit;
    restana({
      server: this.server,
      defaultRoute: (request, response) => {
        const exchange = new HttpCallerExchange(
          request,
          response,
          this.clock.monotonicMilliseconds(),
          () => this.isClosing,
        );
        this.handler.handle(exchange).catch((error: unknown) => {
          this.logger.error('unexpected error', {detail: String(error)});
          exchange.sendOwn({
            kind: 'failed',
            status: 502,
            reason: 'internal error',
          });
        });
      },
    });
  }

  listen(address: string): Promise<void> {
    return listen(this.server, address);
  }

  /** Takes limits over from the configuration. */
  setLimits(limits: TrafficLimits): void {
    this.server.keepAliveTimeout = limits.idleMilliseconds;
    this.server.headersTimeout = limits.headerMilliseconds;
  }

  /** From now on connections are closed after their answer. */
  closeAfterAnswers(): void {
    this.isClosing = true;
  }

  /** Closes connections on which nothing is in progress. */
  closeIdle(): void {
    this.server.closeIdleConnections();
  }

  /** Takes no more connections. */
  stopListening(): void {
    this.server.close();
  }

  /** Closes everything. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
