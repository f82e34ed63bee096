import {createServer, Server} from 'node:http';
import {AddressInfo, connect, Socket} from 'node:net';

import {afterEach, describe, expect, it} from 'vitest';

import {ANY_LOCAL_ADDRESS} from '../../../../test/support/localServer.js';
import {sleep} from '../../../../test/support/sleep.js';
import {listen} from '../node/textServer.js';
import {ServerConnections} from '../node/serverConnections.js';

/** More than the buffers of both ends of a loopback connection hold. */
const BODY_BYTES = 32 * 1024 * 1024;
const SETTLE_MILLISECONDS = 100;

const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';

const opened: Array<Server | Socket> = [];

afterEach(() =>
  opened.splice(0).forEach(item => {
    if (item instanceof Server) {
      item.close();
      item.closeAllConnections();
    } else {
      item.destroy();
    }
  }),
);

async function startServer(
  bodyBytes: number,
): Promise<{connections: ServerConnections; port: number}> {
  const server = createServer((_, response) =>
    response.end(Buffer.alloc(bodyBytes)),
  );
  opened.push(server);
  const connections = new ServerConnections(server);
  await listen(server, ANY_LOCAL_ADDRESS);
  return {connections, port: (server.address() as AddressInfo).port};
}

/** A caller that counts the bytes that it receives. */
class Caller {
  received = 0;
  isClosed = false;
  readonly socket: Socket;

  constructor(port: number) {
    this.socket = connect(port, '127.0.0.1');
    opened.push(this.socket);
    this.socket.on('data', bytes => (this.received += bytes.length));
    this.socket.on('close', () => (this.isClosed = true));
  }
}

describe('the connections of a server', () => {
  // Guards against a stop that cuts off answers which slow callers are still reading.
  it('are kept until a slow caller has received its response', async () => {
    const {connections, port} = await startServer(BODY_BYTES);
    const caller = new Caller(port);
    caller.socket.write(REQUEST);
    caller.socket.pause();
    await sleep(SETTLE_MILLISECONDS);
    let isWritten = false;
    const written = connections.written().then(() => (isWritten = true));
    connections.closeIdle();
    await sleep(SETTLE_MILLISECONDS);
    expect(isWritten).toBe(false);
    caller.socket.resume();
    await written;
    await sleep(SETTLE_MILLISECONDS);
    expect(caller.received).toBeGreaterThan(BODY_BYTES);
    expect(caller.isClosed).toBe(false);
  });

  it.each([
    {name: 'a new connection', sent: '', isClosed: false},
    {name: 'a connection after its response', sent: REQUEST, isClosed: true},
    {
      name: 'a connection with a part of its next request',
      sent: `${REQUEST}GET /`,
      isClosed: false,
    },
  ])('include $name that is closed when idle: $isClosed', async testCase => {
    const {connections, port} = await startServer(1);
    const caller = new Caller(port);
    for (const text of testCase.sent.split(/(?<=\r\n\r\n)/)) {
      caller.socket.write(text);
      await sleep(SETTLE_MILLISECONDS);
    }
    await connections.written();
    connections.closeIdle();
    await sleep(SETTLE_MILLISECONDS);
    expect(caller.isClosed).toBe(testCase.isClosed);
  });
});
