import {timingSafeEqual} from 'node:crypto';

import {createTRPCClient, TRPCClient} from '@trpc/client';
import {AnyTRPCRouter, initTRPC, TRPCError} from '@trpc/server';
import {Agent} from 'undici';

import {Disposable, toDisposable} from '../../../base/common/lifecycle.js';
import {createPoolLink} from './poolLink.js';
import {
  createRpcHandler,
  createRpcServer,
  KEEP_ALIVE_MILLISECONDS,
  KEY_HEADER,
  RpcContext,
} from './rpcServer.js';

/** Typed calls between this system's own processes, over tRPC on loopback or the private network. */

export {createRpcHandler};
export type {RpcContext};

const CONNECTIONS_PER_PEER = 4;
const CONNECT_TIMEOUT_MILLISECONDS = 1000;
/** Shorter than servers keep idle connections, for those that don't tell how long. */
const IDLE_MILLISECONDS = KEEP_ALIVE_MILLISECONDS - 5000;

const trpc = initTRPC.context<RpcContext>().create();

/** Builds routers from procedures. */
export const createRpcRouter = trpc.router;

/** Joins routers under one root. */
export const mergeRpcRouters = trpc.mergeRouters;

/** A procedure that only holders of the peer key may call. */
export const peerProcedure = trpc.procedure.use(({ctx, next}) => {
  if (!sameKey(ctx.presentedKey, ctx.expectedKey)) {
    throw new TRPCError({
      code: 'UNAUTHORIZED',
      message: 'peer key missing or wrong',
    });
  }
  return next();
});

function sameKey(presented: string | undefined, expected: string): boolean {
  if (presented === undefined) {
    return false;
  }
  const left = Buffer.from(presented);
  const right = Buffer.from(expected);
  return left.length === right.length && timingSafeEqual(left, right);
}

/** Splits `host:port`. */
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

/** Serves a router on an address; resolves once it listens. */
export async function serveRpc(
  router: AnyTRPCRouter,
  address: string,
  peerKey: string,
): Promise<Disposable> {
  const server = createRpcServer(router, peerKey);
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

/** A client and the connections that it owns; pass an AbortSignal with each call to bound it. */
export interface RpcClient<Router extends AnyTRPCRouter> extends Disposable {
  readonly call: TRPCClient<Router>;
}

/** Connects to a peer lazily; connections are kept open between calls. */
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

/** Clients of one program for many addresses over one set of connections, one for each address. */
export class RpcConnections implements Disposable {
  private readonly agent = createAgent(1);

  constructor(private readonly peerKey: string) {}

  /** A client for an address; it holds no connection of its own. */
  client<Router extends AnyTRPCRouter>(address: string): TRPCClient<Router> {
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
    keepAliveTimeout: IDLE_MILLISECONDS,
    connect: {timeout: CONNECT_TIMEOUT_MILLISECONDS},
  });
}

function createClient<Router extends AnyTRPCRouter>(
  agent: Agent,
  address: string,
  peerKey: string,
): TRPCClient<Router> {
  const headers = {[KEY_HEADER]: peerKey};
  const link = createPoolLink<Router>(agent, `http://${address}`, headers);
  return createTRPCClient<Router>({links: [link]});
}
