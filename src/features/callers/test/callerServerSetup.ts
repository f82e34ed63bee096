import {connect, Socket} from 'node:net';

import {bearer, chatBody, chatPath} from './callerFakes.js';

/** Requests that the tests of the server for callers send, and how they read the responses. */

/** Headers of a request that may be repeated. */
export const query = {'Redwing-Class': 'query'};

/** Headers of a request that must run once. */
export const order = {'Redwing-Class': 'order', 'Idempotency-Key': 'key-1'};

/** Sends bytes on a new connection that the server may reset; does not read the response. */
export function sendBytes(port: number, bytes: string): Socket {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.write(bytes);
  return socket;
}

/** Resolves when a connection has closed. */
export function whenClosed(socket: Socket): Promise<unknown> {
  return new Promise(resolve => socket.once('close', resolve));
}

/** Reads until the connection closes. */
export async function readUntilClose(socket: Socket): Promise<string> {
  const received: Buffer[] = [];
  socket.on('data', chunk => received.push(chunk));
  await whenClosed(socket);
  return Buffer.concat(received).toString();
}

/** A chat request whose headers end with the given lines. */
export function chatBytes(lines: string, body = ''): string {
  return (
    `POST ${chatPath} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${bearer}\r\n` +
    `Redwing-Class: query\r\n${lines}\r\n\r\n${body}`
  );
}

/** A complete chat request. */
export function chatRequestBytes(stream = false): string {
  const body = JSON.stringify(chatBody(stream));
  return chatBytes(`Content-Length: ${body.length}`, body);
}

/** An event of a streamed chat: a part of the reply, or an error that ends it. */
export interface ChatEvent {
  readonly choices: ReadonlyArray<{
    readonly delta: {readonly content?: string};
  }>;
  readonly error?: unknown;
}

/** Parses the `data:` lines that contain JSON. */
export function parseEvents(text: string): readonly ChatEvent[] {
  return text
    .split('\n\n')
    .map(event => /^data: (\{.*)$/m.exec(event)?.[1])
    .filter(data => data !== undefined)
    .map(data => JSON.parse(data) as ChatEvent);
}
