import {AddressInfo, createServer, Server, Socket} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  CancellationSource,
  neverCancelled,
} from '../../../base/common/cancellation.js';
import {blockEventLoop} from '../../../../test/support/blockEventLoop.js';
import {HttpClient, HttpClientOptions} from '../node/httpClient.js';

const REQUEST = {method: 'POST', path: '/', body: '{}'};
const COMPLETE_RESPONSE = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

let server: Server;
let sockets: Socket[];
let receivedCount: number;
let onData: (socket: Socket) => void;
let client: HttpClient;

beforeEach(async () => {
  sockets = [];
  receivedCount = 0;
  onData = () => undefined;
  server = createServer(socket => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => {
      receivedCount++;
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

describe('send', () => {
  const cases: ReadonlyArray<readonly [string, string, string]> = [
    ['returns a complete response', COMPLETE_RESPONSE, 'answered'],
    [
      'returns lost for a response that is truncated before the first byte',
      '',
      'lost',
    ],
    [
      'returns lost for a response that is truncated in the headers',
      'HTTP/1.1 200 OK\r\ncont',
      'lost',
    ],
    [
      'returns lost for a response that is truncated in the body',
      'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok',
      'lost',
    ],
    [
      'returns lost for a response without a length',
      'HTTP/1.1 200 OK\r\n\r\nok',
      'lost',
    ],
    ['returns lost for a response that is not HTTP', 'hello\r\n\r\n', 'lost'],
    [
      'returns lost for a response that is truncated between chunks',
      'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n',
      'lost',
    ],
    [
      'returns lost for a response above the size limit',
      `HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n${'x'.repeat(99)}`,
      'lost',
    ],
  ];
  it.each(cases)('%s', async (name, text, kind) => {
    connect({maxResponseBytes: 50});
    onData = socket => socket.end(text);
    const outcome = await client.send(REQUEST, neverCancelled);
    expect(outcome.kind).toBe(kind);
    // The request was not sent again.
    expect(receivedCount).toBe(1);
  });
});

describe('a request without a response', () => {
  it('is not sent if the connection is refused', async () => {
    await new Promise(resolve => server.close(resolve));
    const outcome = await client.send(REQUEST, neverCancelled);
    expect(outcome.kind).toBe('notSent');
  });

  it('is lost if it times out after sending', async () => {
    const request = {...REQUEST, milliseconds: 20};
    expect((await client.send(request, neverCancelled)).kind).toBe('lost');
  });

  it('is never sent if it ends while it waits for a connection', async () => {
    const first = client.send(REQUEST, neverCancelled);
    await expect.poll(() => receivedCount).toBe(1);
    const request = {...REQUEST, milliseconds: 20};
    const limited = await client.send(request, neverCancelled);
    expect(limited.kind).toBe('notSent');
    const source = new CancellationSource();
    const waiting = client.send(REQUEST, source.token);
    source.cancel('not wanted');
    expect(await waiting).toEqual({kind: 'cancelled', sent: false});
    sockets[0]?.write(COMPLETE_RESPONSE);
    expect((await first).kind).toBe('answered');
    onData = socket => socket.write(COMPLETE_RESPONSE);
    expect((await client.send(REQUEST, neverCancelled)).kind).toBe('answered');
    expect(receivedCount).toBe(2);
  });

  it('is marked as sent if it is cancelled after sending', async () => {
    const source = new CancellationSource();
    const sending = client.send(REQUEST, source.token);
    await expect.poll(() => receivedCount).toBe(1);
    source.cancel('not wanted');
    expect(await sending).toEqual({kind: 'cancelled', sent: true});
  });

  it('is rejected if too many requests are pending', async () => {
    connect({maxPendingRequests: 1});
    const first = client.send(REQUEST, neverCancelled);
    const outcome = await client.send(REQUEST, neverCancelled);
    expect(outcome).toEqual({kind: 'tooMany', limit: 1});
    client.dispose();
    await first;
    expect((await client.send(REQUEST, neverCancelled)).kind).toBe('notSent');
  });
});

// A large answer on a narrow link was given up, again and again, though it arrived without a pause.
describe('a response that takes longer than the time limit of its call', () => {
  const STEP_MILLISECONDS = 20;

  /** Sends a response in steps, and nothing more after the given number of them. */
  function sendSlowly(socket: Socket, length: number, sentSteps: number): void {
    socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${length}\r\n\r\n`);
    for (let step = 1; step <= sentSteps; step++) {
      setTimeout(() => socket.write('x'), step * STEP_MILLISECONDS);
    }
  }

  it.each([
    {
      name: 'is read to its end if it arrives steadily',
      steps: 20,
      kind: 'answered',
    },
    {name: 'is given up after a pause', steps: 3, kind: 'lost'},
    {name: 'is given up at the limit of the transfer', steps: 60, kind: 'lost'},
  ])('$name', async ({steps, kind}) => {
    connect({
      callMilliseconds: 100,
      transfer: {pauseMilliseconds: 100, totalMilliseconds: 800},
    });
    const length = steps === 3 ? 20 : steps;
    onData = socket => sendSlowly(socket, length, steps);
    const outcome = await client.send(REQUEST, neverCancelled);
    expect(outcome.kind).toBe(kind);
  });
});

describe('a response that has arrived while the event loop was late', () => {
  const LIMIT_MILLISECONDS = 100;
  const BLOCKED_MILLISECONDS = 300;

  it('is not taken for missing', async () => {
    connect({callMilliseconds: LIMIT_MILLISECONDS});
    // The timer of the call runs right after this one of the same time, before the event loop reads.
    setTimeout(() => {
      sockets[0]?.write(COMPLETE_RESPONSE);
      blockEventLoop(BLOCKED_MILLISECONDS);
    }, LIMIT_MILLISECONDS);
    const outcome = await client.send(REQUEST, neverCancelled);
    expect(outcome.kind).toBe('answered');
  });
});
