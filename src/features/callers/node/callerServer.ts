import {createServer, Server, ServerResponse} from 'node:http';

import restana from 'restana';

import {Clock} from '../../../base/common/clock.js';
import {maybeExecuted, notExecuted} from '../common/failureBody.js';
import {CallerAuthenticator} from './callerAuthenticator.js';
import {CallerResponse} from './callerResponse.js';
import {CallerDependencies} from './callerDependencies.js';
import {ChatHandler} from './chatHandler.js';
import {PipeliningGuard} from './pipeliningGuard.js';
import {ConnectionTracker} from './connectionTracker.js';
import {QueryHandlers} from './queryHandlers.js';
import {RequestExchange} from './requestExchange.js';
import {ServiceHandler} from './serviceHandler.js';

/** Milliseconds within which a caller must send a complete request. */
const REQUEST_TIMEOUT_MILLISECONDS = 30000;

/** Milliseconds within which a caller must send the headers. */
const HEADERS_TIMEOUT_MILLISECONDS = 10000;

/** Milliseconds for which an idle connection stays open; the Keep-Alive header states whole seconds. */
const KEEP_ALIVE_TIMEOUT_MILLISECONDS = 3000;

/** Milliseconds of a shutdown in which callers may still send requests on kept-alive connections. */
const KEPT_CONNECTION_GRACE_MILLISECONDS =
  KEEP_ALIVE_TIMEOUT_MILLISECONDS + 500;

/** Maximum number of open connections per permitted concurrent request. */
const CONNECTIONS_PER_REQUEST = 4;

/** Capacity of the route cache; it is bounded because each idempotency key has a path of its own. */
const ROUTE_CACHE_SIZE = 100;

/** Milliseconds for aborted requests to send their final response. */
const FINAL_RESPONSE_TIMEOUT_MILLISECONDS = 1000;

/** The HTTP server for callers. */
export class CallerServer {
  private readonly running = new Set<RequestExchange>();
  private readonly server: Server;
  private readonly connections: ConnectionTracker;

  constructor(private readonly services: CallerDependencies) {
    this.server = createServer({
      requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      headersTimeout: HEADERS_TIMEOUT_MILLISECONDS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MILLISECONDS,
    });
    const {concurrentRequestLimit} = services.settings;
    this.server.maxConnections =
      concurrentRequestLimit * CONNECTIONS_PER_REQUEST;
    new PipeliningGuard(this.server);
    this.connections = new ConnectionTracker(this.server);
    this.addRoutes();
  }

  /** Starts to listen; resolves with the port. */
  async listen(host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
    const address = this.server.address();
    return typeof address === 'object' && address ? address.port : port;
  }

  /**
   * Refuses new work, waits for requests in progress up to a limit, aborts the remaining ones and closes.
   * Kept-alive connections stay open until callers no longer reuse them: a caller whose request is cut off
   * without a response can't know whether it ran. Resolves with the number of aborted requests.
   */
  async drain(limitMilliseconds: number): Promise<number> {
    const {clock, gate} = this.services;
    const graceEndsAt =
      clock.monotonicMilliseconds() + KEPT_CONNECTION_GRACE_MILLISECONDS;
    const idle = gate.drain();
    await waitAtMost(idle, limitMilliseconds, clock);
    const givenUp = gate.count;
    for (const exchange of this.running) {
      exchange.abort({kind: 'shuttingDown'});
    }
    if (givenUp > 0) {
      await waitAtMost(idle, FINAL_RESPONSE_TIMEOUT_MILLISECONDS, clock);
    }
    const remainingGrace = Math.max(
      0,
      graceEndsAt - clock.monotonicMilliseconds(),
    );
    await waitAtMost(this.connections.whenAllClosed(), remainingGrace, clock);
    this.connections.stopListening();
    const allClosed = this.connections.whenAllClosed();
    await waitAtMost(allClosed, FINAL_RESPONSE_TIMEOUT_MILLISECONDS, clock);
    await this.close();
    return givenUp;
  }

  /** Stops listening and closes all connections. */
  close(): Promise<void> {
    return new Promise(resolve => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private addRoutes(): void {
    const authenticator = new CallerAuthenticator();
    const {services, running} = this;
    const chat = new ChatHandler(services, authenticator, running);
    const service = new ServiceHandler(services, authenticator, running);
    const queries = new QueryHandlers(services, authenticator);
    const routes = restana({
      server: this.server,
      routerCacheSize: ROUTE_CACHE_SIZE,
      defaultRoute: (_request, response) => this.sendNotFound(response),
      errorHandler: (error, _request, response) =>
        this.sendInternalError(error, response),
    });
    routes.get('/v1/health', (_request, response) => queries.health(response));
    routes.get('/v1/entrypoints', (request, response) =>
      queries.entrypoints(request, response),
    );
    routes.get('/v1/requests/:key', (request, response) =>
      queries.outcome(request, response),
    );
    routes.post('/v1/chat/completions', (request, response) =>
      chat.handle(request, response),
    );
    routes.all('/v1/services/*', (request, response) =>
      service.handle(request, response),
    );
  }

  private sendNotFound(response: ServerResponse): void {
    const what = 'such call; see docs/CALLERS.md';
    this.createResponse(response).sendFailure(
      notExecuted({kind: 'notFound', what}),
    );
  }

  private sendInternalError(error: Error, response: ServerResponse): void {
    this.services.logger.error('unexpected error', {detail: error.message});
    if (response.headersSent) {
      response.destroy();
      return;
    }
    const detail = 'internal error';
    this.createResponse(response).sendFailure(
      maybeExecuted({kind: 'upstreamFailed', detail}),
    );
  }

  private createResponse(response: ServerResponse): CallerResponse {
    const {clock, gate} = this.services;
    return new CallerResponse(response, clock, () => gate.isLeaving);
  }
}

/** Waits for a promise until a timeout; disposes the timer when the promise settles first. */
async function waitAtMost(
  promise: Promise<void>,
  milliseconds: number,
  clock: Clock,
): Promise<void> {
  await new Promise<void>(resolve => {
    const timer = clock.setTimer(milliseconds, resolve);
    void promise.then(() => {
      timer.dispose();
      resolve();
    });
  });
}
