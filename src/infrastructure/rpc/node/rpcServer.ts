import {timingSafeEqual} from 'node:crypto';
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

import {Disposable} from '../../../base/common/lifecycle.js';
import {
  MEMORY_SPENT,
  MemoryBudget,
  MemoryHold,
} from '../../../base/common/memoryBudget.js';
import {RequestBody} from '../../http/node/requestBody.js';

/** Serves tRPC procedures from Node's HTTP server, without the Fetch API's Request and Response. */

/** Context of a call. */
export interface RpcContext {
  /** The peer key sent by the caller. */
  readonly presentedKey: string | undefined;
  readonly expectedKey: string;
}

export const PEER_KEY_HEADER = 'redwing-peer-key';

/** Maximum size of the body of a call or of its response. */
export const MESSAGE_LIMIT_BYTES = 4 * 1024 * 1024;
/** Longer than the usual interval between the calls of a peer, so that connections are reused. */
export const KEEP_ALIVE_MILLISECONDS = 60000;
const SUCCESS_STATUS = 200;

interface RpcResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Rejects callers without the peer key. */
export function requirePeerKey({presentedKey, expectedKey}: RpcContext): void {
  if (!isSamePeerKey(presentedKey, expectedKey)) {
    throw new TRPCError({
      code: 'UNAUTHORIZED',
      message: 'peer key missing or wrong',
    });
  }
}

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

/**
 * Creates a request listener for a router, for programs that serve several protocols on one address.
 * @param memory accounts the bodies of calls
 */
export function createRpcHandler(
  router: AnyTRPCRouter,
  peerKey: string,
  memory = new MemoryBudget(Infinity),
): RequestListener {
  return (request, response) => {
    void handleRequest(router, peerKey, memory, request, response);
  };
}

/** Creates a server for a router. The caller makes it listen and closes it. */
export function createRpcServer(
  router: AnyTRPCRouter,
  peerKey: string,
  memory?: MemoryBudget,
): Server {
  const handler = createRpcHandler(router, peerKey, memory);
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
  memory: MemoryBudget,
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
  const body = new BodyReader(request, memory);
  const rpcResponse = await callProcedure(
    router,
    createContext(request, peerKey),
    request,
    body,
    abortController.signal,
  );
  body.dispose();
  if (response.destroyed) {
    return;
  }
  const text = JSON.stringify(rpcResponse.body);
  response.sendDate = false;
  response.writeHead(rpcResponse.status, {
    'content-length': Buffer.byteLength(text),
    // The rest of a body that was refused is not read.
    ...(request.complete ? {} : {connection: 'close'}),
  });
  response.end(text);
}

/** Calls the procedure named by the path. An error gives an error response. */
async function callProcedure(
  router: AnyTRPCRouter,
  ctx: RpcContext,
  request: IncomingMessage,
  bodyReader: BodyReader,
  signal: AbortSignal,
): Promise<RpcResponse> {
  const path = (request.url ?? '/').slice(1);
  try {
    requirePeerKey(ctx);
    const body = await bodyReader.read();
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

/** Reads the body of one call as far as the limit and the memory allow. */
class BodyReader implements Disposable {
  private readonly hold: MemoryHold;
  private readonly body: RequestBody;
  private reject: (error: Error) => void = () => undefined;

  constructor(
    private readonly request: IncomingMessage,
    memory: MemoryBudget,
  ) {
    this.hold = memory.hold(() => this.refuse(createMemoryError()));
    this.body = new RequestBody(request, MESSAGE_LIMIT_BYTES, this.hold);
  }

  read(): Promise<string> {
    const {request, body} = this;
    return new Promise((resolve, reject) => {
      this.reject = reject;
      request.on('data', (chunk: Buffer) => this.collect(chunk));
      request.once('end', () => {
        this.hold.keep();
        resolve(body.bytes.toString('utf8'));
      });
      request.once('error', reject);
      request.once('close', () => reject(new Error('the caller has left')));
    });
  }

  /** Releases the memory of the body. */
  dispose(): void {
    this.hold.dispose();
  }

  private collect(chunk: Buffer): void {
    switch (this.body.add(chunk)) {
      case 'added':
        return;
      case 'tooLarge':
        this.refuse(createSizeError());
        return;
      case 'noMemory':
        this.refuse(createMemoryError());
    }
  }

  private refuse(error: TRPCError): void {
    this.request.removeAllListeners('data');
    this.request.pause();
    this.reject(error);
  }
}

function createSizeError(): TRPCError {
  const message = `the body is larger than ${MESSAGE_LIMIT_BYTES} bytes, or in pieces that cost more`;
  return new TRPCError({code: 'PAYLOAD_TOO_LARGE', message});
}

function createMemoryError(): TRPCError {
  return new TRPCError({code: 'TOO_MANY_REQUESTS', message: MEMORY_SPENT});
}
