import {createServer, Server, Socket} from 'node:net';

import {listen} from '../../src/infrastructure/http/node/textServer.js';
import {addressOf, ANY_LOCAL_ADDRESS} from '../support/localServer.js';

/** A server whose answers stop at any byte, and the forms of answers that it sends. */

/** How the connection of an answer that stops is closed: in order or with a reset, with its last bytes or after them. */
export const closings = ['FIN', 'FIN later', 'RST', 'RST later'] as const;

/** The two that differ most, for paths on which all would take too long. */
export const mainClosings: readonly Closing[] = ['FIN', 'RST later'];

export type Closing = (typeof closings)[number];

/** Lets the bytes arrive before their connection is closed. */
const LATER_MILLISECONDS = 3;

/** An answer as it is written to a connection. */
export interface CutAnswer {
  readonly text: string;
  /** Number of its bytes that are sent before the connection is closed; undefined for an answer that is whole. */
  readonly cut?: {readonly bytes: number; readonly closing: Closing};
}

/** A way to write an answer with status 200. */
export interface AnswerForm {
  readonly name: string;
  /** Status line and headers, with line ends. */
  readonly start: string;
  readonly lineEnd: string;
  readonly framing: 'length' | 'chunks' | 'connection';
  /** Whether clients refuse even the whole answer, since it does not follow the protocol. */
  readonly isRefused?: boolean;
}

const OK = 'HTTP/1.1 200 OK\r\n';
const CLOSE = 'Connection: close\r\n';

/** Forms of sound and of doubtful answers. */
export const answerForms: readonly AnswerForm[] = [
  {name: 'a length', start: OK, lineEnd: '\r\n', framing: 'length'},
  {name: 'chunks', start: OK, lineEnd: '\r\n', framing: 'chunks'},
  {name: 'no end', start: OK, lineEnd: '\r\n', framing: 'connection'},
  {
    name: 'a length on a connection that closes',
    start: OK + CLOSE,
    lineEnd: '\r\n',
    framing: 'length',
  },
  {
    name: 'chunks on a connection that closes',
    start: OK + CLOSE,
    lineEnd: '\r\n',
    framing: 'chunks',
  },
  {
    name: 'a transfer coding other than chunks',
    start: `${OK}Transfer-Encoding: identity\r\n`,
    lineEnd: '\r\n',
    framing: 'connection',
  },
  {
    name: 'a length after 100',
    start: `HTTP/1.1 100 Continue\r\n\r\n${OK}`,
    lineEnd: '\r\n',
    framing: 'length',
    isRefused: true,
  },
  {
    name: 'a length after 103',
    start: `HTTP/1.1 103 Early Hints\r\nContent-Length: 4\r\n\r\n${OK}`,
    lineEnd: '\r\n',
    framing: 'length',
  },
  {
    name: 'no end after 103 on a connection that closes',
    start: `HTTP/1.1 103 Early Hints\r\n${CLOSE}\r\n${OK}`,
    lineEnd: '\r\n',
    framing: 'connection',
    isRefused: true,
  },
  {
    name: 'a length and bare line feeds',
    start: 'HTTP/1.1 200 OK\n',
    lineEnd: '\n',
    framing: 'length',
    isRefused: true,
  },
  {
    name: 'no end and bare line feeds',
    start: 'HTTP/1.1 200 OK\n',
    lineEnd: '\n',
    framing: 'connection',
    isRefused: true,
  },
  {
    name: 'HTTP/1.0 and a length',
    start: 'HTTP/1.0 200 OK\r\n',
    lineEnd: '\r\n',
    framing: 'length',
  },
  {
    name: 'HTTP/1.0, a length and a connection that is kept',
    start: 'HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n',
    lineEnd: '\r\n',
    framing: 'length',
  },
  {
    name: 'HTTP/1.0 and no end',
    start: 'HTTP/1.0 200 OK\r\n',
    lineEnd: '\r\n',
    framing: 'connection',
  },
];

/** An answer in one form. */
export interface FormedAnswer {
  readonly text: string;
  readonly headBytes: number;
}

/** Writes an answer; header lines have no line ends. */
export function formAnswer(
  {start, lineEnd, framing}: AnswerForm,
  headerLines: readonly string[],
  body: string,
): FormedAnswer {
  const lines = [...headerLines];
  if (framing === 'length') {
    lines.push(`Content-Length: ${body.length}`);
  } else if (framing === 'chunks') {
    lines.push('Transfer-Encoding: chunked');
  }
  const head = `${start}${lines.map(line => line + lineEnd).join('')}${lineEnd}`;
  return {
    text: head + (framing === 'chunks' ? formChunks(body) : body),
    headBytes: head.length,
  };
}

/** Two chunks, so that an answer may also stop between them. */
function formChunks(body: string): string {
  const half = Math.ceil(body.length / 2);
  return [body.slice(0, half), body.slice(half), '']
    .map(chunk => `${chunk.length.toString(16)}\r\n${chunk}\r\n`)
    .join('');
}

/** Every byte of the head of an answer, and some of its body, at which it may stop. */
export function cutsOf({text, headBytes}: FormedAnswer): readonly number[] {
  const inHead = [...Array(headBytes).keys()];
  const bodyBytes = text.length - headBytes;
  const inBody = [0, 1, bodyBytes >> 2, bodyBytes >> 1, bodyBytes - 1];
  return [...new Set([...inHead, ...inBody.map(byte => headBytes + byte)])];
}

/** Sends answers over sockets of its own. */
export class CuttingServer {
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  /** @param answer chooses the answer to a request, of which it gets the head */
  constructor(private readonly answer: (request: string) => CutAnswer) {
    this.server = createServer(socket => this.serve(socket));
  }

  /** Resolves with the address `IP:port`. */
  async start(): Promise<string> {
    await listen(this.server, ANY_LOCAL_ADDRESS);
    return addressOf(this.server);
  }

  stop(): void {
    this.server.close();
    this.sockets.forEach(socket => socket.destroy());
  }

  private serve(socket: Socket): void {
    let received = '';
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('error', () => undefined);
    socket.on('data', bytes => {
      received += bytes.toString('latin1');
      if (received.includes('\r\n\r\n')) {
        const request = received;
        received = '';
        send(socket, this.answer(request));
      }
    });
  }
}

function send(socket: Socket, {text, cut}: CutAnswer): void {
  if (cut === undefined) {
    socket.write(text);
    return;
  }
  socket.write(text.slice(0, cut.bytes));
  const close = (): void => {
    if (cut.closing.startsWith('RST')) {
      socket.resetAndDestroy();
    } else {
      socket.end();
    }
  };
  if (cut.closing.endsWith('later')) {
    setTimeout(close, LATER_MILLISECONDS);
  } else {
    close();
  }
}

/** Where and how an answer stops. */
export type Cut = NonNullable<CutAnswer['cut']>;

/** All cuts of an answer with some kinds of closing. */
export function allCutsOf(
  answer: FormedAnswer,
  kinds: readonly Closing[] = mainClosings,
): readonly Cut[] {
  return cutsOf(answer).flatMap(bytes =>
    kinds.map(closing => ({bytes, closing})),
  );
}

/** Writes a cut into a path or an identifier. */
export function formatCut({bytes, closing}: Cut): string {
  return `cut-${bytes}-${closing.replace(' ', '-')}`;
}

/** Finds the cut in a request; undefined if it asks for a whole answer. */
export function findCut(request: string): Cut | undefined {
  const [, bytes, kind, later] =
    /cut-(\d+)-(FIN|RST)(-later)?/.exec(request) ?? [];
  return bytes === undefined
    ? undefined
    : {
        bytes: Number(bytes),
        closing: `${kind}${later === undefined ? '' : ' later'}` as Closing,
      };
}

/** Processes items, some at the same time; resolves with the results in order. */
export async function mapInBatches<Item, R>(
  items: readonly Item[],
  size: number,
  work: (item: Item) => Promise<R>,
): Promise<readonly R[]> {
  const results: R[] = [];
  for (let from = 0; from < items.length; from += size) {
    const batch = items.slice(from, from + size);
    results.push(...(await Promise.all(batch.map(work))));
  }
  return results;
}
