import {timingSafeEqual} from 'node:crypto';
import {Server} from 'node:http';

import {createTRPCClient, TRPCClient} from '@trpc/client';
import {AnyTRPCRouter, initTRPC, TRPCError} from '@trpc/server';
import {Agent} from 'undici';

import {Disposable, toDisposable} from '../../../base/common/lifecycle.js';
import {createDispatcherLink} from './dispatcherLink.js';
import {
  createRpcHandler,
  createRpcServer,
  KEEP_ALIVE_MILLISECONDS,
  PEER_KEY_HEADER,
  RpcContext,
} from './rpcServer.js';

/** Typed remote calls between processes of this system: tRPC over the loopback interface or the private network. */

export {createRpcHandler};
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
  if (!isSamePeerKey(ctx.presentedKey, ctx.expectedKey)) {
    throw new TRPCError({
      code: 'UNAUTHORIZED',
      message: 'peer key missing or wrong',
    });
  }
  return next();
});

/** Whether a presented peer key is the expected one; takes the same time for all keys of a length. */
export function isSamePeerKey(
  presented: string | undefined,
  expected: string,
): boolean {
  if (presented === undefined) {
    return false;
  }
  const left = Buffer.from(presented);
  const right = Buffer.from(expected);
  return left.length === right.length && timingSafeEqual(left, right);
}

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

/** Serves a router on an address; resolves once the server listens. `prepare` may add to the server before. */
export async function serveRpc(
  router: AnyTRPCRouter,
  address: string,
  peerKey: string,
  prepare: (server: Server) => void = () => undefined,
): Promise<Disposable> {
  const server = createRpcServer(router, peerKey);
  prepare(server);
  const {host, port} = parseAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve());
  });
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
  const agent = createAgent(CONNECTIONS_PER_PEER);
  return {
    call: createClient<Router>(agent, address, peerKey),
    dispose: () => void agent.destroy(),
  };
}

/** Creates clients of many addresses that share one connection for each address. */
export class RpcClientFactory implements Disposable {
  private readonly agent = createAgent(1);

  constructor(private readonly peerKey: string) {}

  /** Creates a client of an address. It uses the shared connection, so it needs no disposal. */
  clientFor<Router extends AnyTRPCRouter>(address: string): TRPCClient<Router> {
    return createClient<Router>(this.agent, address, this.peerKey);
  }

  dispose(): void {
    void this.agent.destroy();
  }
}

function createAgent(connections: number): Agent {
  return new Agent({
    connections,
    pipelining: 1,
    keepAliveTimeout: IDLE_TIMEOUT_MILLISECONDS,
    connect: {timeout: CONNECT_TIMEOUT_MILLISECONDS},
  });
}

function createClient<Router extends AnyTRPCRouter>(
  agent: Agent,
  address: string,
  peerKey: string,
): TRPCClient<Router> {
  const headers = {[PEER_KEY_HEADER]: peerKey};
  const link = createDispatcherLink<Router>(
    agent,
    `http://${address}`,
    headers,
  );
  return createTRPCClient<Router>({links: [link]});
}
