import {createServer, Server, ServerResponse} from 'node:http';

import restana from 'restana';

import {Clock} from '../../../base/common/clock.js';
import {maybeExecuted, notExecuted} from '../common/failureBody.js';
import {CallerAuthenticator} from './callerAuthenticator.js';
import {CallerResponse} from './callerResponse.js';
import {CallerServices} from './callerServices.js';
import {ChatHandler} from './chatHandler.js';
import {OpenConnections} from './openConnections.js';
import {QueryHandlers} from './queryHandlers.js';
import {RequestExchange} from './requestExchange.js';
import {ServiceHandler} from './serviceHandler.js';

/** Milliseconds for a caller to send a whole request. */
const REQUEST_LIMIT_MILLISECONDS = 30000;

/** Milliseconds for a caller to send the headers. */
const HEADERS_LIMIT_MILLISECONDS = 10000;

/** Milliseconds for which an idle connection stays open; callers are told whole seconds of it. */
const KEEP_ALIVE_MILLISECONDS = 3000;

/** Milliseconds of a stop in which callers may still use the connections that they kept. */
const STOP_MILLISECONDS = KEEP_ALIVE_MILLISECONDS + 500;

/** Open connections for each request that may be in progress. */
const CONNECTIONS_PER_REQUEST = 4;

/** Routes whose match is remembered; the paths of keys vary without end. */
const ROUTE_CACHE_SIZE = 100;

/** Milliseconds that given-up requests have to send their last answer. */
const LAST_ANSWER_MILLISECONDS = 1000;

/** The callers' HTTP server. */
export class CallerServer {
  private readonly running = new Set<RequestExchange>();
  private readonly server: Server;
  private readonly connections: OpenConnections;

  constructor(private readonly services: CallerServices) {
    this.server = createServer({
      requestTimeout: REQUEST_LIMIT_MILLISECONDS,
      headersTimeout: HEADERS_LIMIT_MILLISECONDS,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
    });
    const {concurrentRequestLimit} = services.settings;
    this.server.maxConnections =
      concurrentRequestLimit * CONNECTIONS_PER_REQUEST;
    this.connections = new OpenConnections(this.server);
    this.addRoutes();
  }

  /** Listens; resolves with the port. */
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
   * Refuses new work, waits for requests in progress up to a limit, gives up what is left and
   * closes. Kept connections are closed only when a caller wouldn't use them any more: a request
   * cut off unanswered leaves open whether it ran. Resolves with the number of requests given up.
   */
  async drain(limitMilliseconds: number): Promise<number> {
    const {clock, gate} = this.services;
    const stopAt = clock.monotonicMilliseconds() + STOP_MILLISECONDS;
    const idle = gate.drain();
    await settledWithin(idle, limitMilliseconds, clock);
    const givenUp = gate.count;
    for (const exchange of this.running) {
      exchange.giveUp({kind: 'shuttingDown'});
    }
    if (givenUp > 0) {
      await settledWithin(idle, LAST_ANSWER_MILLISECONDS, clock);
    }
    const left = Math.max(0, stopAt - clock.monotonicMilliseconds());
    await settledWithin(this.connections.whenNone(), left, clock);
    this.connections.stopListening();
    const unused = this.connections.whenNone();
    await settledWithin(unused, LAST_ANSWER_MILLISECONDS, clock);
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
        this.sendUnexpected(error, response),
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
    this.open(response).sendFailure(notExecuted({kind: 'notFound', what}));
  }

  private sendUnexpected(error: Error, response: ServerResponse): void {
    this.services.logger.error('unexpected error', {detail: error.message});
    if (response.headersSent) {
      response.destroy();
      return;
    }
    const detail = 'internal error';
    this.open(response).sendFailure(
      maybeExecuted({kind: 'upstreamFailed', detail}),
    );
  }

  private open(response: ServerResponse): CallerResponse {
    const {clock, gate} = this.services;
    return new CallerResponse(response, clock, () => gate.isLeaving);
  }
}

/** Waits for a promise, for a time at most; leaves no timer behind. */
async function settledWithin(
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
