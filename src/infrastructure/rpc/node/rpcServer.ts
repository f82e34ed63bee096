import {
  createServer,
  IncomingMessage,
  RequestListener,
  Server,
  ServerResponse,
} from 'node:http';

import {
  AnyTRPCRouter,
  callTRPCProcedure,
  getTRPCErrorFromUnknown,
  getTRPCErrorShape,
  TRPCError,
} from '@trpc/server';
import {getHTTPStatusCodeFromError} from '@trpc/server/http';

/** Serves tRPC procedures from Node's HTTP server, without the Fetch API's Request and Response. */

/** Context of a call. */
export interface RpcContext {
  /** The peer key sent by the caller. */
  readonly presentedKey: string | undefined;
  readonly expectedKey: string;
}

export const PEER_KEY_HEADER = 'redwing-peer-key';

const MAX_BODY_BYTES = 4 * 1024 * 1024;
/** Longer than the usual interval between the calls of a peer, so that connections are reused. */
export const KEEP_ALIVE_MILLISECONDS = 60000;
const SUCCESS_STATUS = 200;

interface RpcResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Creates a request listener for a router, for programs that serve several protocols on one address. */
export function createRpcHandler(
  router: AnyTRPCRouter,
  peerKey: string,
): RequestListener {
  return (request, response) => {
    void handleRequest(router, peerKey, request, response);
  };
}

/** Creates a server for a router. The caller makes it listen and closes it. */
export function createRpcServer(
  router: AnyTRPCRouter,
  peerKey: string,
): Server {
  const handler = createRpcHandler(router, peerKey);
  const server = createServer((request, response) => {
    // Clients know the keep-alive time-out, so responses need no connection header.
    response.removeHeader('connection');
    handler(request, response);
  });
  server.keepAliveTimeout = KEEP_ALIVE_MILLISECONDS;
  return server;
}

async function handleRequest(
  router: AnyTRPCRouter,
  peerKey: string,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const abortController = new AbortController();
  // Aborting creates an exception, so it is avoided for complete responses.
  response.once('close', () => {
    if (!response.writableFinished) {
      abortController.abort();
    }
  });
  const rpcResponse = await callProcedure(
    router,
    peerKey,
    request,
    abortController.signal,
  );
  if (response.destroyed) {
    return;
  }
  const text = JSON.stringify(rpcResponse.body);
  response.sendDate = false;
  response.writeHead(rpcResponse.status, {
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Calls the procedure named by the path. An error gives an error response. */
async function callProcedure(
  router: AnyTRPCRouter,
  peerKey: string,
  request: IncomingMessage,
  signal: AbortSignal,
): Promise<RpcResponse> {
  const path = (request.url ?? '/').slice(1);
  const ctx = createContext(request, peerKey);
  try {
    const body = await readBody(request);
    const data: unknown = await callTRPCProcedure({
      router,
      path,
      getRawInput: async () => parseInput(body),
      ctx,
      // Queries are sent by POST too, since their input may be long.
      type: 'mutation',
      allowMethodOverride: true,
      signal,
      batchIndex: 0,
    });
    return {status: SUCCESS_STATUS, body: {result: {data}}};
  } catch (cause) {
    const error = getTRPCErrorFromUnknown(cause);
    const config = router._def._config;
    const type = 'unknown';
    const input = undefined;
    const shape = getTRPCErrorShape({config, error, type, path, input, ctx});
    const status = getHTTPStatusCodeFromError(error);
    return {status, body: {error: shape}};
  }
}

function createContext(request: IncomingMessage, peerKey: string): RpcContext {
  const header = request.headers[PEER_KEY_HEADER];
  const presentedKey = Array.isArray(header) ? header[0] : header;
  return {presentedKey, expectedKey: peerKey};
}

function parseInput(body: string): unknown {
  if (body === '') {
    return undefined;
  }
  try {
    return JSON.parse(body);
  } catch (cause) {
    throw new TRPCError({
      code: 'PARSE_ERROR',
      message: 'the body is not JSON',
      cause,
    });
  }
}

function readBody(request: IncomingMessage): Promise<string> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let length = 0;
    request.on('data', (chunk: Buffer) => {
      length += chunk.length;
      if (length <= MAX_BODY_BYTES) {
        chunks.push(chunk);
        return;
      }
      request.removeAllListeners('data');
      request.destroy();
      reject(
        new TRPCError({
          code: 'PAYLOAD_TOO_LARGE',
          message: `the body is larger than ${MAX_BODY_BYTES} bytes`,
        }),
      );
    });
    request.once('end', () => resolve(Buffer.concat(chunks).toString('utf8')));
    request.once('error', reject);
    request.once('close', () => reject(new Error('the caller has left')));
  });
}
