import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {Socket} from 'node:net';

import {Disposable} from '../../src/base/common/lifecycle.js';
import {parseAddress} from '../../src/infrastructure/rpc/node/rpc.js';

const BODY_LIMIT_BYTES = 16 * 1024 * 1024;
const KEEP_ALIVE_MILLISECONDS = 60_000;

/** A request to a stand-in, with its whole body. */
export interface StandInRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingMessage['headers'];
  readonly text: string;
  readonly socket: Socket;
  /** Calls the listener when the connection closes or the response is complete. */
  onDidDisconnect(listener: () => void): void;
}

/** A response, a closed connection, or no response at all. */
export type StandInResponse =
  | {
      readonly kind: 'response';
      readonly status: number;
      readonly body: unknown;
      readonly headers?: Readonly<Record<string, string>>;
      /** Whether to send the same bytes again before the next response on the connection. */
      readonly sendTwice?: boolean;
    }
  | {readonly kind: 'disconnect'}
  | {readonly kind: 'noResponse'};

export type StandInHandler = (
  request: StandInRequest,
) => Promise<StandInResponse>;

/** A response with status 200. */
export function okResponse(body: unknown): StandInResponse {
  return {kind: 'response', status: 200, body};
}

/** The HTTP server of a stand-in; can stop and start again at the same address. */
export class StandInServer implements Disposable {
  private server: Server | undefined;
  private readonly duplicateResponses = new WeakMap<Socket, string>();

  constructor(
    readonly address: string,
    private readonly handler: StandInHandler,
  ) {}

  /** Starts to listen; does nothing when already listening. */
  async start(): Promise<void> {
    if (this.server !== undefined) {
      return;
    }
    const server = createServer((request, response) => {
      void this.serve(request, response);
    });
    server.keepAliveTimeout = KEEP_ALIVE_MILLISECONDS;
    this.server = server;
    const {host, port} = parseAddress(this.address);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => resolve());
    });
  }

  /** Closes the port and all connections. */
  stop(): void {
    this.server?.close();
    this.server?.closeAllConnections();
    this.server = undefined;
  }

  dispose(): void {
    this.stop();
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.sendDuplicateResponse(request.socket);
    try {
      const text = await readText(request);
      const reply = await this.handler(
        toStandInRequest(request, response, text),
      );
      this.send(request.socket, response, reply);
    } catch (error) {
      const detail = error instanceof Error ? error.message : 'failed';
      const body = {error: {kind: 'failed', detail}};
      this.send(request.socket, response, {
        kind: 'response',
        status: 500,
        body,
      });
    }
  }

  private send(
    socket: Socket,
    response: ServerResponse,
    reply: StandInResponse,
  ): void {
    if (reply.kind === 'noResponse') {
      return;
    }
    if (reply.kind === 'disconnect') {
      socket.destroy();
      return;
    }
    const body = Buffer.from(JSON.stringify(reply.body));
    response.writeHead(reply.status, {
      'content-type': 'application/json',
      'content-length': String(body.length),
      ...reply.headers,
    });
    response.end(body);
    if (reply.sendTwice === true) {
      const head = `HTTP/1.1 ${reply.status} OK\r\ncontent-type: application/json`;
      const raw = `${head}\r\ncontent-length: ${body.length}\r\n\r\n${body.toString()}`;
      this.duplicateResponses.set(socket, raw);
    }
  }

  private sendDuplicateResponse(socket: Socket): void {
    const duplicate = this.duplicateResponses.get(socket);
    if (duplicate !== undefined) {
      this.duplicateResponses.delete(socket);
      socket.write(duplicate);
    }
  }
}

async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request) {
    const bytes = chunk as Buffer;
    size += bytes.length;
    if (size > BODY_LIMIT_BYTES) {
      throw new Error(`the body is longer than ${BODY_LIMIT_BYTES} bytes`);
    }
    chunks.push(bytes);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function toStandInRequest(
  request: IncomingMessage,
  response: ServerResponse,
  text: string,
): StandInRequest {
  const url = new URL(request.url ?? '/', 'http://stand-in');
  return {
    method: request.method ?? 'GET',
    path: url.pathname,
    query: url.searchParams,
    headers: request.headers,
    text,
    socket: request.socket,
    onDidDisconnect: listener => void response.once('close', listener),
  };
}
