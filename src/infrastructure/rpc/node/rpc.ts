import {Server} from 'node:http';

import {createTRPCClient, TRPCClient} from '@trpc/client';
import {AnyTRPCRouter, initTRPC} from '@trpc/server';
import {Agent, buildConnector} from 'undici';

import {Disposable, toDisposable} from '../../../base/common/lifecycle.js';
import {MemoryBudget} from '../../../base/common/memoryBudget.js';
import {ConnectionWatch} from '../../http/node/connectionWatch.js';
import {listen} from '../../http/node/textServer.js';
import {createDispatcherLink} from './dispatcherLink.js';
import {
  createRpcHandler,
  createRpcServer,
  isSamePeerKey,
  KEEP_ALIVE_MILLISECONDS,
  PEER_KEY_HEADER,
  requirePeerKey,
  RpcContext,
} from './rpcServer.js';

/** Typed remote calls between processes of this system: tRPC over the loopback interface or the private network. */

export {createRpcHandler, isSamePeerKey};
export type {RpcContext};

const CONNECTIONS_PER_PEER = 4;
const CONNECT_TIMEOUT_MILLISECONDS = 1000;
/** Shorter than the keep-alive time-out of the servers, for servers that do not announce it. */
const IDLE_TIMEOUT_MILLISECONDS = KEEP_ALIVE_MILLISECONDS - 5000;

const trpc = initTRPC.context<RpcContext>().create();

/** Creates a router from procedures. */
export const createRpcRouter = trpc.router;

/** Merges routers into one. */
export const mergeRpcRouters = trpc.mergeRouters;

/** Base procedure that rejects callers without the peer key. */
export const peerProcedure = trpc.procedure.use(({ctx, next}) => {
  requirePeerKey(ctx);
  return next();
});

/** Splits `host:port` at the last colon. */
export function parseAddress(address: string): {
  readonly host: string;
  readonly port: number;
} {
  const separator = address.lastIndexOf(':');
  return {
    host: address.slice(0, separator),
    port: Number(address.slice(separator + 1)),
  };
}

/**
 * Serves a router on an address; resolves once the server listens. `prepare` may add to the server before.
 * @param memory accounts the bodies of calls
 */
export async function serveRpc(
  router: AnyTRPCRouter,
  address: string,
  peerKey: string,
  prepare: (server: Server) => void = () => undefined,
  memory?: MemoryBudget,
): Promise<Disposable> {
  const server = createRpcServer(router, peerKey, memory);
  prepare(server);
  await listen(server, address);
  return toDisposable(() => {
    server.close();
    server.closeAllConnections();
  });
}

/** A client that owns its connections. Pass an AbortSignal with a call to limit its duration. */
export interface RpcClient<Router extends AnyTRPCRouter> extends Disposable {
  readonly call: TRPCClient<Router>;
}

/** Creates a client of a peer. Connections are opened on demand and kept open between calls. */
export function createRpcClient<Router extends AnyTRPCRouter>(
  address: string,
  peerKey: string,
): RpcClient<Router> {
  const connections = new RpcConnections(CONNECTIONS_PER_PEER, peerKey);
  return {
    call: connections.createClient<Router>(address),
    dispose: () => connections.dispose(),
  };
}

/** Creates clients of many addresses that share one connection for each address. */
export class RpcClientFactory implements Disposable {
  private readonly connections: RpcConnections;

  /** @param memory accounts the responses */
  constructor(peerKey: string, memory?: MemoryBudget) {
    this.connections = new RpcConnections(1, peerKey, memory);
  }

  /** Creates a client of an address. It uses the shared connection, so it needs no disposal. */
  clientFor<Router extends AnyTRPCRouter>(address: string): TRPCClient<Router> {
    return this.connections.createClient<Router>(address);
  }

  dispose(): void {
    this.connections.dispose();
  }
}

class RpcConnections implements Disposable {
  private readonly agent: Agent;
  private readonly watch = new ConnectionWatch();

  constructor(
    connectionsPerAddress: number,
    private readonly peerKey: string,
    private readonly memory = new MemoryBudget(Infinity),
  ) {
    const connect = buildConnector({timeout: CONNECT_TIMEOUT_MILLISECONDS});
    this.agent = new Agent({
      connections: connectionsPerAddress,
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT_MILLISECONDS,
      connect: this.watch.watch(connect),
    });
  }

  createClient<Router extends AnyTRPCRouter>(
    address: string,
  ): TRPCClient<Router> {
    const link = createDispatcherLink<Router>(
      {dispatcher: this.agent, watch: this.watch, memory: this.memory},
      `http://${address}`,
      {[PEER_KEY_HEADER]: this.peerKey},
    );
    return createTRPCClient<Router>({links: [link]});
  }

  dispose(): void {
    void this.agent.destroy();
  }
}
