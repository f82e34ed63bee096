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

/** Serves tRPC procedures straight from Node's HTTP server, without the web's Request and Response. */

/** What every call carries. */
export interface RpcContext {
  /** The secret that the caller presented. */
  readonly presentedKey: string | undefined;
  readonly expectedKey: string;
}

/** The header that carries the peer key. */
export const KEY_HEADER = 'redwing-peer-key';

const BODY_LIMIT_BYTES = 4 * 1024 * 1024;
/** Longer than peers pause between calls, so that connections are seldom made anew. */
export const KEEP_ALIVE_MILLISECONDS = 60000;
const SUCCESS_STATUS = 200;

interface Answer {
  readonly status: number;
  readonly body: unknown;
}

/** Answers calls to a router; for programs that serve more than one protocol on an address. */
export function createRpcHandler(
  router: AnyTRPCRouter,
  peerKey: string,
): RequestListener {
  return (request, response) => {
    void serve(router, peerKey, request, response);
  };
}

/** Makes a server for a router; the caller listens and closes. */
export function createRpcServer(
  router: AnyTRPCRouter,
  peerKey: string,
): Server {
  const handler = createRpcHandler(router, peerKey);
  const server = createServer((request, response) => {
    // Clients know how long connections are kept, so no answer need tell it.
    response.removeHeader('connection');
    handler(request, response);
  });
  server.keepAliveTimeout = KEEP_ALIVE_MILLISECONDS;
  return server;
}

async function serve(
  router: AnyTRPCRouter,
  peerKey: string,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const closed = new AbortController();
  // Aborting costs an exception, so only where somebody still works.
  response.once('close', () => {
    if (!response.writableFinished) {
      closed.abort();
    }
  });
  const answer = await call(router, peerKey, request, closed.signal);
  if (response.destroyed) {
    return;
  }
  const text = JSON.stringify(answer.body);
  response.sendDate = false;
  response.writeHead(answer.status, {
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Calls the procedure that the path names; errors become answers. */
async function call(
  router: AnyTRPCRouter,
  peerKey: string,
  request: IncomingMessage,
  signal: AbortSignal,
): Promise<Answer> {
  const path = (request.url ?? '/').slice(1);
  const ctx = contextOf(request, peerKey);
  try {
    const body = await readBody(request);
    const data: unknown = await callTRPCProcedure({
      router,
      path,
      getRawInput: async () => parseInput(body),
      ctx,
      // Queries come by POST too, since their input may be long.
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

function contextOf(request: IncomingMessage, peerKey: string): RpcContext {
  const header = request.headers[KEY_HEADER];
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
      if (length <= BODY_LIMIT_BYTES) {
        chunks.push(chunk);
        return;
      }
      request.removeAllListeners('data');
      request.destroy();
      reject(
        new TRPCError({
          code: 'PAYLOAD_TOO_LARGE',
          message: `the body is larger than ${BODY_LIMIT_BYTES} bytes`,
        }),
      );
    });
    request.once('end', () => resolve(Buffer.concat(chunks).toString('utf8')));
    request.once('error', reject);
    request.once('close', () => reject(new Error('the caller has left')));
  });
}
