import {AddressInfo, createServer, Server, Socket} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  CancellationSource,
  neverCancelled,
} from '../../../base/common/cancellation.js';
import {HttpClient, HttpClientOptions} from '../node/httpClient.js';

const CALL = {method: 'POST', path: '/', body: '{}'};
const WHOLE = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

let server: Server;
let sockets: Socket[];
let received: number;
let onData: (socket: Socket) => void;
let client: HttpClient;

beforeEach(async () => {
  sockets = [];
  received = 0;
  onData = () => undefined;
  server = createServer(socket => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => {
      received++;
      onData(socket);
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  connect({});
});

afterEach(() => {
  client.dispose();
  sockets.forEach(socket => socket.destroy());
  server.close();
});

function connect(options: Partial<HttpClientOptions>): void {
  const {port} = server.address() as AddressInfo;
  client = new HttpClient(`127.0.0.1:${port}`, {connections: 1, ...options});
}

describe('answers', () => {
  const cases: ReadonlyArray<readonly [string, string, string]> = [
    ['whole', WHOLE, 'answered'],
    ['cut before any byte', '', 'lost'],
    ['cut in the head', 'HTTP/1.1 200 OK\r\ncont', 'lost'],
    [
      'cut in the body',
      'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok',
      'lost',
    ],
    ['without a length', 'HTTP/1.1 200 OK\r\n\r\nok', 'lost'],
    ['no HTTP', 'hello\r\n\r\n', 'lost'],
    [
      'cut between chunks',
      'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n',
      'lost',
    ],
    [
      'longer than allowed',
      `HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n${'x'.repeat(99)}`,
      'lost',
    ],
  ];
  it.each(cases)('%s', async (name, text, kind) => {
    connect({answerLimitBytes: 50});
    onData = socket => socket.end(text);
    const outcome = await client.send(CALL, neverCancelled);
    expect(outcome.kind).toBe(kind);
    // It was never sent twice.
    expect(received).toBe(1);
  });
});

describe('calls that end without an answer', () => {
  it('a refused connection was not sent', async () => {
    await new Promise(resolve => server.close(resolve));
    const outcome = await client.send(CALL, neverCancelled);
    expect(outcome.kind).toBe('notSent');
  });

  it('the time limit counts as lost once sent', async () => {
    const call = {...CALL, milliseconds: 20};
    expect((await client.send(call, neverCancelled)).kind).toBe('lost');
  });

  it('a call that waited for a connection was not sent, nor is it later', async () => {
    const first = client.send(CALL, neverCancelled);
    await expect.poll(() => received).toBe(1);
    const call = {...CALL, milliseconds: 20};
    const limited = await client.send(call, neverCancelled);
    expect(limited.kind).toBe('notSent');
    const source = new CancellationSource();
    const waiting = client.send(CALL, source.token);
    source.cancel('not wanted');
    expect(await waiting).toEqual({kind: 'cancelled', sent: false});
    sockets[0]?.write(WHOLE);
    expect((await first).kind).toBe('answered');
    onData = socket => socket.write(WHOLE);
    expect((await client.send(CALL, neverCancelled)).kind).toBe('answered');
    expect(received).toBe(2);
  });

  it('a call cancelled after sending may have run', async () => {
    const source = new CancellationSource();
    const sending = client.send(CALL, source.token);
    await expect.poll(() => received).toBe(1);
    source.cancel('not wanted');
    expect(await sending).toEqual({kind: 'cancelled', sent: true});
  });

  it('more calls than may wait are refused here', async () => {
    connect({waitingLimit: 1});
    const first = client.send(CALL, neverCancelled);
    const outcome = await client.send(CALL, neverCancelled);
    expect(outcome).toEqual({kind: 'tooMany', limit: 1});
    client.dispose();
    await first;
    expect((await client.send(CALL, neverCancelled)).kind).toBe('notSent');
  });
});
