import {createServer, Server} from 'node:http';
import {
  createServer as createNetServer,
  Server as NetServer,
  Socket,
} from 'node:net';

import restana from 'restana';

import {Clock} from '../../base/common/clock.js';
import {
  CallerMemory,
  HttpCallerExchange,
} from '../../features/forwarding/node/httpCallerExchange.js';
import {RequestHandler} from '../../features/forwarding/node/requestHandler.js';
import {TrafficLimits} from '../../features/traffic/common/trafficConfiguration.js';
import {ServerConnections} from '../../infrastructure/http/node/serverConnections.js';
import {listen} from '../../infrastructure/http/node/textServer.js';
import {Logger} from '../../infrastructure/logging/common/logger.js';
import {ConnectionQueue} from './connectionQueue.js';
import {EventLoopMonitor} from './eventLoopMonitor.js';

/** Header size limit of the HTTP parser. The configured limit may change, so it is checked after parsing. */
const PARSER_HEADER_LIMIT_BYTES = 64 * 1024;

/** Period at which the server checks connections for timeouts. */
const CONNECTION_CHECK_MILLISECONDS = 1_000;

/** Timeouts until the first configuration is active. */
const INITIAL_IDLE_TIMEOUT_MILLISECONDS = 15_000;
const INITIAL_HEADER_TIMEOUT_MILLISECONDS = 10_000;

/** HTTP server for callers. */
export class CallerListener {
  /** Parses the requests of the connections that it is handed. */
  private readonly server: Server;
  /** Accepts connections and reads nothing from them. */
  private readonly acceptor: NetServer;
  private readonly queue: ConnectionQueue;
  private readonly connections: ServerConnections;
  private isClosing = false;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly handler: RequestHandler,
    memory: CallerMemory,
    eventLoop: EventLoopMonitor,
    connectionLimit: number,
  ) {
    this.server = createServer({
      maxHeaderSize: PARSER_HEADER_LIMIT_BYTES,
      keepAliveTimeout: INITIAL_IDLE_TIMEOUT_MILLISECONDS,
      headersTimeout: INITIAL_HEADER_TIMEOUT_MILLISECONDS,
      // The deadline of a request limits the time for its body.
      requestTimeout: 0,
      connectionsCheckingInterval: CONNECTION_CHECK_MILLISECONDS,
    });
    this.queue = new ConnectionQueue(clock, eventLoop, socket => {
      this.server.emit('connection', socket);
      socket.resume();
    });
    this.acceptor = createNetServer({
      // A caller may end its side after its request.
      allowHalfOpen: true,
      noDelay: true,
      pauseOnConnect: true,
    });
    this.acceptor.maxConnections = connectionLimit;
    this.acceptor.on('connection', (socket: Socket) => {
      eventLoop.recordAccepted();
      this.queue.add(socket);
    });
    this.connections = new ServerConnections(this.server);
    restana({
      server: this.server,
      defaultRoute: (request, response) => {
        const exchange = new HttpCallerExchange(
          request,
          response,
          {
            receivedAt: this.clock.monotonicMilliseconds(),
            connectedAfter: this.queue.takeConnectedAfter(request.socket),
          },
          () => this.isClosing,
          memory,
        );
        this.handler.handle(exchange).catch((error: unknown) => {
          this.logger.error('unexpected error', {detail: String(error)});
          exchange.sendRouterResponse({
            kind: 'failed',
            status: 502,
            reason: 'internal error',
          });
        });
      },
    });
  }

  async listen(address: string): Promise<void> {
    await listen(this.acceptor, address, ({message}) =>
      this.logger.error('connection not accepted', {detail: message}),
    );
    // The server begins to check its connections for timeouts.
    this.server.emit('listening');
  }

  /** Applies the timeouts of the configuration to the server. */
  setLimits(limits: TrafficLimits): void {
    this.server.keepAliveTimeout = limits.idleMilliseconds;
    this.server.headersTimeout = limits.headerMilliseconds;
  }

  /** Makes each connection close after its current or next response. */
  closeAfterResponses(): void {
    this.isClosing = true;
  }

  /** Closes connections without a request in progress and without an unwritten response. */
  closeIdle(): void {
    this.connections.closeIdle();
  }

  /** Number of responses that have not been written whole, those of requests in progress included. */
  get unwrittenCount(): number {
    return this.connections.unwrittenCount;
  }

  /** Resolves once all responses have been written. */
  written(): Promise<void> {
    return this.connections.written();
  }

  /** Stops accepting connections; open ones remain. */
  stopListening(): void {
    this.acceptor.close();
    this.queue.releaseAll();
  }

  /** Closes the server and all connections, including those with requests in progress. */
  close(): void {
    this.acceptor.close();
    this.queue.closeAll();
    this.server.close();
    this.server.closeAllConnections();
  }
}
