import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {Socket} from 'node:net';

import {Disposable} from '../../src/base/common/lifecycle.js';
import {parseAddress} from '../../src/infrastructure/rpc/node/rpc.js';

const BODY_LIMIT_BYTES = 16 * 1024 * 1024;
const KEEP_ALIVE_MILLISECONDS = 60_000;

/** A call as the stand-ins see it. */
export interface StandInCall {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingMessage['headers'];
  readonly text: string;
  readonly socket: Socket;
  /** Fires when the caller goes away. */
  onDidGo(listener: () => void): void;
}

/** An answer, or the connection cut, or no answer ever. */
export type StandInAnswer =
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly body: unknown;
      readonly headers?: Readonly<Record<string, string>>;
      /** Bytes of the same answer are sent again before the next one on the connection. */
      readonly twice?: boolean;
    }
  | {readonly kind: 'cut'}
  | {readonly kind: 'silence'};

/** Handles one call. */
export type StandInHandler = (call: StandInCall) => Promise<StandInAnswer>;

/** An answer with status 200. */
export function answerOk(body: unknown): StandInAnswer {
  return {kind: 'answer', status: 200, body};
}

/** A small HTTP server of a stand-in; it can stop and start again at the same address. */
export class StandInServer implements Disposable {
  private server: Server | undefined;
  private readonly strayAnswers = new WeakMap<Socket, string>();

  constructor(
    readonly address: string,
    private readonly handler: StandInHandler,
  ) {}

  /** Listens; does nothing when it listens already. */
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

  /** Closes the port and cuts all connections. */
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
    this.sendStrayAnswer(request.socket);
    try {
      const text = await readText(request);
      const answer = await this.handler(toCall(request, response, text));
      this.send(request.socket, response, answer);
    } catch (error) {
      const detail = error instanceof Error ? error.message : 'failed';
      const body = {error: {kind: 'failed', detail}};
      this.send(request.socket, response, {kind: 'answer', status: 500, body});
    }
  }

  private send(
    socket: Socket,
    response: ServerResponse,
    answer: StandInAnswer,
  ): void {
    if (answer.kind === 'silence') {
      return;
    }
    if (answer.kind === 'cut') {
      socket.destroy();
      return;
    }
    const body = Buffer.from(JSON.stringify(answer.body));
    response.writeHead(answer.status, {
      'content-type': 'application/json',
      'content-length': String(body.length),
      ...answer.headers,
    });
    response.end(body);
    if (answer.twice === true) {
      const head = `HTTP/1.1 ${answer.status} OK\r\ncontent-type: application/json`;
      const raw = `${head}\r\ncontent-length: ${body.length}\r\n\r\n${body.toString()}`;
      this.strayAnswers.set(socket, raw);
    }
  }

  private sendStrayAnswer(socket: Socket): void {
    const stray = this.strayAnswers.get(socket);
    if (stray !== undefined) {
      this.strayAnswers.delete(socket);
      socket.write(stray);
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

function toCall(
  request: IncomingMessage,
  response: ServerResponse,
  text: string,
): StandInCall {
  const url = new URL(request.url ?? '/', 'http://stand-in');
  return {
    method: request.method ?? 'GET',
    path: url.pathname,
    query: url.searchParams,
    headers: request.headers,
    text,
    socket: request.socket,
    onDidGo: listener => void response.once('close', listener),
  };
}
