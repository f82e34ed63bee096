import {timingSafeEqual} from 'node:crypto';
import {createServer, RequestListener} from 'node:http';

import {createTRPCClient, httpLink, TRPCClient} from '@trpc/client';
import {AnyTRPCRouter, initTRPC, TRPCError} from '@trpc/server';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {Agent, fetch as undiciFetch} from 'undici';

import {Disposable, toDisposable} from '../../../base/common/lifecycle.js';

/** Typed calls between this system's own processes, over tRPC on loopback or the private network. */

/** What every call carries. */
export interface RpcContext {
  /** The secret that the caller presented. */
  readonly presentedKey: string | undefined;
  readonly expectedKey: string;
}

const KEY_HEADER = 'redwing-peer-key';
const CONNECTIONS_PER_PEER = 4;

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

/** Answers calls to a router; for programs that serve more than one protocol on an address. */
export function createRpcHandler(
  router: AnyTRPCRouter,
  peerKey: string,
): RequestListener {
  return createHTTPHandler({
    router,
    createContext: ({req}): RpcContext => {
      const header = req.headers[KEY_HEADER];
      return {
        presentedKey: Array.isArray(header) ? header[0] : header,
        expectedKey: peerKey,
      };
    },
  });
}

/** Serves a router on an address; resolves once it listens. */
export async function serveRpc(
  router: AnyTRPCRouter,
  address: string,
  peerKey: string,
): Promise<Disposable> {
  const server = createServer(createRpcHandler(router, peerKey));
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
  const agent = new Agent({
    connections: CONNECTIONS_PER_PEER,
    pipelining: 1,
    connect: {timeout: 1000},
  });
  // The cast joins two declarations of the same fetch interface: undici's and the global one.
  const fetchWithAgent = ((input: string, init: Record<string, unknown>) =>
    undiciFetch(input, {
      ...init,
      dispatcher: agent,
    })) as unknown as typeof fetch;
  const link = httpLink({
    url: `http://${address}`,
    headers: {[KEY_HEADER]: peerKey},
    fetch: fetchWithAgent,
  } as never);
  return {
    call: createTRPCClient<Router>({links: [link]}),
    dispose: () => void agent.destroy(),
  };
}
