import {createServer, Server, Socket} from 'node:net';

import {afterEach, describe, expect, it, vi} from 'vitest';

import {FakeClock} from '../../../../test/support/fakeClock.js';
import {FakeEventLoop} from '../../../../test/support/fakeEventLoop.js';
import {makeUpstream} from '../../fleet/test/upstreams.js';
import {
  ExchangeFailure,
  ResponseListener,
  UpstreamExchange,
} from '../common/upstreamExchange.js';
import {RawHeaders} from '../common/headerCodec.js';
import {DirectDialer} from '../../../infrastructure/http/node/directDialer.js';
import {Dialer} from '../../../infrastructure/http/node/dialer.js';
import {HttpUpstreamConnector} from '../node/httpUpstreamConnector.js';
import {makeConnector} from './makeConnector.js';

/** Exchanges over real sockets with upstreams that respond in various faulty ways. */

/** Records a response and how it ended. */
class Recorder extends ResponseListener {
  status = 0;
  body = '';
  headers: RawHeaders = [];
  private resolveEnded: (outcome: string) => void = () => undefined;
  readonly ended = new Promise<string>(
    resolve => (this.resolveEnded = resolve),
  );

  override onHead(status: number, _reason: string, headers: RawHeaders): void {
    this.status = status;
    this.headers = headers;
  }

  override onBody(chunk: Uint8Array): void {
    this.body += Buffer.from(chunk).toString();
  }

  override onEnd(isFramed: boolean): void {
    this.resolveEnded(isFramed ? 'end' : 'end of connection');
  }

  override onFailure({wasSent}: ExchangeFailure): void {
    this.resolveEnded(wasSent ? 'lost' : 'not sent');
  }
}

const servers: Server[] = [];
const connectors: HttpUpstreamConnector[] = [];
const clock = new FakeClock();
const eventLoop = new FakeEventLoop(clock);

afterEach(() => {
  connectors.splice(0).forEach(connector => connector.dispose());
  servers.splice(0).forEach(server => server.close());
});

/** Starts a server; the handler gets the connection and the number of requests on it so far. */
async function startServer(
  handle: (socket: Socket, count: number) => void,
): Promise<string> {
  const server = createServer(socket => {
    let count = 0;
    socket.on('error', () => undefined);
    socket.on('data', () => handle(socket, ++count));
  });
  servers.push(server);
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  const address = server.address();
  return `127.0.0.1:${typeof address === 'object' ? address?.port : 0}`;
}

function startConnector(
  dialer?: Dialer,
  latenessMilliseconds = 0,
): HttpUpstreamConnector {
  eventLoop.latenessMilliseconds = latenessMilliseconds;
  const connector = makeConnector(dialer, clock, eventLoop);
  connectors.push(connector);
  return connector;
}

function open(
  connector: HttpUpstreamConnector,
  address: string,
  isAlone: boolean,
): Recorder {
  const recorder = new Recorder();
  openFor(connector, address, isAlone, recorder);
  return recorder;
}

function openFor(
  connector: HttpUpstreamConnector,
  address: string,
  isAlone: boolean,
  recorder: Recorder,
): UpstreamExchange {
  return connector.open(
    makeUpstream({address}),
    {
      method: 'POST',
      target: '/a?b=c',
      headers: ['X-Own', '1', 'X-Own', '2'],
      body: Buffer.from('body'),
      connectMilliseconds: 300,
      isAlone,
    },
    recorder,
  );
}

const HEAD = 'HTTP/1.1 200 OK\r\nX-Proof: p\r\n';

const responseCases: ReadonlyArray<{
  name: string;
  respond: (socket: Socket) => void;
  outcome: string;
  body: string;
}> = [
  {
    name: 'a complete response',
    respond: socket => socket.write(`${HEAD}Content-Length: 2\r\n\r\nok`),
    outcome: 'end',
    body: 'ok',
  },
  {
    name: 'a chunked response',
    respond: socket =>
      socket.write(
        `${HEAD}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`,
      ),
    outcome: 'end',
    body: 'ok',
  },
  {
    name: 'an unframed response that ends with its connection',
    respond: socket => socket.end(`${HEAD}Connection: close\r\n\r\nok`),
    outcome: 'end of connection',
    body: 'ok',
  },
  {
    name: 'an unframed response whose connection is reset',
    respond: socket =>
      socket.write(`${HEAD}Connection: close\r\n\r\no`, () =>
        setTimeout(() => socket.resetAndDestroy(), 20),
      ),
    outcome: 'lost',
    body: 'o',
  },
  {
    name: 'a reset right after an unframed response',
    respond: socket => {
      socket.write(`${HEAD}\r\no`);
      socket.resetAndDestroy();
    },
    outcome: 'lost',
    body: '',
  },
  {
    name: 'a response that is shorter than its content length',
    respond: socket => socket.end(`${HEAD}Content-Length: 9\r\n\r\nok`),
    outcome: 'lost',
    body: 'ok',
  },
  {
    name: 'a chunked response that breaks off',
    respond: socket =>
      socket.end(`${HEAD}Transfer-Encoding: chunked\r\n\r\n9\r\nok`),
    outcome: 'lost',
    body: 'ok',
  },
  {
    name: 'bytes that are not an HTTP response',
    respond: socket => socket.write('rubbish\r\n\r\n'),
    outcome: 'lost',
    body: '',
  },
  {
    name: 'a connection that is closed without a response',
    respond: socket => socket.end(),
    outcome: 'lost',
    body: '',
  },
];

describe.each([{isAlone: true}, {isAlone: false}])(
  'an exchange on its own connection: $isAlone',
  ({isAlone}) => {
    it.each(responseCases)(
      'with $name ends as "$outcome"',
      async ({respond, outcome, body}) => {
        const address = await startServer(socket => respond(socket));
        const recorder = open(startConnector(), address, isAlone);
        expect(await recorder.ended).toBe(outcome);
        expect(recorder.body).toContain(body);
      },
    );
  },
);

it('an exchange preserves the names, order and repetition of headers', async () => {
  let seen = '';
  const address = await startServer(socket => {
    socket.on('data', bytes => (seen += bytes.toString()));
    socket.end(`${HEAD}X-Two: a\r\nX-Two: b\r\nContent-Length: 0\r\n\r\n`);
  });
  const recorder = open(startConnector(), address, true);
  await recorder.ended;
  expect(recorder.headers.join(' ')).toContain('X-Proof p X-Two a X-Two b');
});

it('an exchange does not use an unsolicited response to an earlier request', async () => {
  const address = await startServer((socket, count) => {
    const response = `${HEAD}Content-Length: 1\r\n\r\n${count}`;
    socket.write(count === 1 ? `${response}${response}` : response);
  });
  const connector = startConnector();
  const first = open(connector, address, false);
  expect(await first.ended).toBe('end');
  await new Promise(resolve => setTimeout(resolve, 30));
  const second = open(connector, address, false);
  expect(await second.ended).toBe('end');
});

it('an exchange reports that nothing was sent when nothing listens at the address', async () => {
  const address = await startServer(() => undefined);
  const [server] = servers.splice(0);
  await new Promise(resolve => server!.close(resolve));
  const recorder = open(startConnector(), address, false);
  expect(await recorder.ended).toBe('not sent');
});

interface PausedCase {
  readonly headers: string;
  readonly rest: string;
  readonly closing: 'FIN' | 'RST';
  readonly outcome: string;
}

const CLOSE = 'Connection: close\r\n';
const LENGTH = 'Content-Length: 2\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n';

const pausedCases: readonly PausedCase[] = [
  {headers: '', rest: 'ok', closing: 'FIN', outcome: 'end of connection'},
  {headers: '', rest: 'o', closing: 'RST', outcome: 'lost'},
  {headers: CLOSE + LENGTH, rest: 'ok', closing: 'FIN', outcome: 'end'},
  {headers: CLOSE + LENGTH, rest: 'o', closing: 'FIN', outcome: 'lost'},
  {headers: CLOSE + LENGTH, rest: 'o', closing: 'RST', outcome: 'lost'},
  {headers: LENGTH, rest: 'o', closing: 'FIN', outcome: 'lost'},
  {
    headers: CLOSE + CHUNKED,
    rest: '1\r\no\r\n',
    closing: 'FIN',
    outcome: 'lost',
  },
  {
    headers: CLOSE + CHUNKED,
    rest: '1\r\no\r\n',
    closing: 'RST',
    outcome: 'lost',
  },
  {
    headers: CLOSE + CHUNKED,
    rest: '2\r\nok\r\n0\r\n\r\n',
    closing: 'FIN',
    outcome: 'end',
  },
];

// Guards against an assertion of the HTTP client, after which the exchange never ended.
describe.each([
  {when: 'with its last bytes', waits: false},
  {when: 'later', waits: true},
])('a connection that ends $when while its response is paused', ({waits}) => {
  it.each(pausedCases)(
    'by $closing, with the headers $headers and then $rest, ends as $outcome',
    async ({headers, rest, closing, outcome}) => {
      const address = await startServer(socket => {
        const close = (): void =>
          void (closing === 'FIN' ? socket.end() : socket.resetAndDestroy());
        socket.write(`${HEAD}${headers}\r\n`);
        setTimeout(() => {
          socket.write(rest);
          if (!waits && closing === 'FIN') {
            close();
          } else {
            setTimeout(close, 20);
          }
        }, 10);
      });
      const exchanges: UpstreamExchange[] = [];
      const recorder = new (class extends Recorder {
        override onBody(chunk: Uint8Array): void {
          super.onBody(chunk);
          exchanges.forEach(exchange => exchange.pause());
        }
      })();
      exchanges.push(openFor(startConnector(), address, false, recorder));
      await new Promise(resolve => setTimeout(resolve, 60));
      exchanges.forEach(exchange => exchange.resume());
      expect(await recorder.ended).toBe(outcome);
    },
  );
});

// The client put back what it had not parsed, and the socket read as much again each time: some 18 MB in 6 s.
it('a response that is paused again and again is whole, and little of it is held', async () => {
  const chunkCount = 400;
  const chunk = 'x'.repeat(4_096);
  const heldLimitBytes = 256 * 1024;
  const address = await startServer(socket => {
    socket.write(`${HEAD}Transfer-Encoding: chunked\r\n\r\n`);
    socket.write(`1000\r\n${chunk}\r\n`.repeat(chunkCount));
    socket.write('0\r\n\r\n');
  });
  const sockets: Socket[] = [];
  const dialer = new DirectDialer();
  const {connect} = dialer;
  const recordingDialer: Dialer = {
    onDidChangeWay: dialer.onDidChangeWay,
    connect: (options, callback) =>
      connect(options, (...result) => {
        sockets.push(result[1] as Socket);
        callback(...result);
      }),
  };
  let mostHeld = 0;
  const recorder = new (class extends Recorder {
    override onBody(bytes: Uint8Array): void {
      super.onBody(bytes);
      mostHeld = Math.max(mostHeld, sockets[0]?.readableLength ?? 0);
      exchange.pause();
      setTimeout(() => exchange.resume(), 2);
    }
  })();
  const exchange = openFor(
    startConnector(recordingDialer),
    address,
    false,
    recorder,
  );
  expect(await recorder.ended).toBe('end');
  expect(recorder.body).toHaveLength(chunkCount * chunk.length);
  expect(mostHeld).toBeLessThan(heldLimitBytes);
});

describe('a request whose process was held right before it was written', () => {
  const LATE_MILLISECONDS = 700;

  it.each([
    {caller: 'has left', isAlone: false, received: 0},
    {caller: 'has left', isAlone: true, received: 0},
    {caller: 'still waits', isAlone: false, received: 1},
    {caller: 'still waits', isAlone: true, received: 1},
  ])(
    'is sent $received times when its caller $caller (alone: $isAlone)',
    async ({caller, isAlone, received}) => {
      let count = 0;
      const address = await startServer(socket => {
        count++;
        socket.write(`${HEAD}Content-Length: 2\r\n\r\nok`);
      });
      const connector = startConnector(undefined, LATE_MILLISECONDS);
      const recorder = new Recorder();
      const exchange = openFor(connector, address, isAlone, recorder);
      await vi.waitFor(() => expect(eventLoop.isAwaited).toBe(true));
      if (caller === 'has left') {
        exchange.dispose();
      }
      eventLoop.read();
      const silence = new Promise(resolve => setTimeout(resolve, 100));
      await Promise.race([recorder.ended, silence]);
      expect(count).toBe(received);
    },
  );
});
