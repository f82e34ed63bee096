import {
  Agent,
  createServer as createHttpServer,
  IncomingMessage,
  request,
  Server as HttpServer,
} from 'node:http';

import {
  addressOf,
  ANY_LOCAL_ADDRESS,
} from '../../../../test/support/localServer.js';
import {MemoryBudget} from '../../../base/common/memoryBudget.js';
import {Dialer} from '../../../infrastructure/http/node/dialer.js';
import {DirectDialer} from '../../../infrastructure/http/node/directDialer.js';
import {listen} from '../../../infrastructure/http/node/textServer.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {TrafficConfiguration} from '../../traffic/common/trafficConfiguration.js';
import {CallerMemory, HttpCallerExchange} from '../node/httpCallerExchange.js';
import {HttpUpstreamConnector} from '../node/httpUpstreamConnector.js';
import {makeConnector} from './makeConnector.js';
import {ForwardingHarness} from './forwardingHarness.js';

/** Memory for callers that has no limit. */
export const unlimitedCallerMemory: CallerMemory = {
  requests: new MemoryBudget(Infinity),
  unread: new MemoryBudget(Infinity),
};

/** A request without an answer counts as unanswered after this time; sound ones take some milliseconds. */
const ANSWER_LIMIT_MILLISECONDS = 1_500;

/** What a caller receives; the status is undefined if there is no answer. */
export interface CallerAnswer {
  readonly status: number | undefined;
  readonly body: string;
  readonly isComplete: boolean;
}

/** Forwarding between a caller's socket and upstreams. */
export class SocketHarness {
  readonly forwarding: ForwardingHarness;
  private readonly connector: HttpUpstreamConnector;
  private readonly server: HttpServer;
  private readonly agent = new Agent({keepAlive: true, maxSockets: 16});

  constructor(
    configuration: TrafficConfiguration,
    upstreams: readonly Upstream[],
    dialer: Dialer = new DirectDialer(),
  ) {
    this.connector = makeConnector(dialer);
    this.forwarding = new ForwardingHarness(
      configuration,
      upstreams,
      {},
      this.connector,
    );
    const {clock, handler} = this.forwarding;
    this.server = createHttpServer((message, response) => {
      const exchange = new HttpCallerExchange(
        message,
        response,
        {receivedAt: clock.monotonicMilliseconds()},
        () => false,
        unlimitedCallerMemory,
      );
      void handler.handle(exchange);
    });
  }

  start(): Promise<void> {
    return listen(this.server, ANY_LOCAL_ADDRESS);
  }

  send(target: string, id: string): Promise<CallerAnswer> {
    const [host, port] = addressOf(this.server).split(':');
    return new Promise(resolve => {
      const outgoing = request({
        host,
        port,
        path: target,
        method: 'POST',
        agent: this.agent,
        headers: {id, host: 'host.example', key: 'key'},
        timeout: ANSWER_LIMIT_MILLISECONDS,
      });
      outgoing.on('response', (message: IncomingMessage) => {
        const chunks: Buffer[] = [];
        message.on('data', (chunk: Buffer) => chunks.push(chunk));
        message.on('error', () => undefined);
        message.on('close', () =>
          resolve({
            status: message.statusCode,
            body: Buffer.concat(chunks).toString(),
            isComplete: message.complete,
          }),
        );
      });
      outgoing.on('timeout', () => outgoing.destroy());
      outgoing.on('error', () =>
        resolve({status: undefined, body: '', isComplete: false}),
      );
      outgoing.end();
    });
  }

  dispose(): void {
    this.agent.destroy();
    this.server.close();
    this.server.closeAllConnections();
    this.connector.dispose();
  }
}
