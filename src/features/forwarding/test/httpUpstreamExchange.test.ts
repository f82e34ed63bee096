import {createServer, Server, Socket} from 'node:net';

import {afterEach, describe, expect, it} from 'vitest';

import {makeUpstream} from '../../fleet/test/upstreams.js';
import {AnswerListener, ExchangeFailure} from '../common/upstreamExchange.js';
import {RawHeaders} from '../common/wire.js';
import {HttpUpstreamConnector} from '../node/httpUpstreamConnector.js';

/** Exchanges with upstreams that answer in every wrong way, over real sockets. */

/** Records an answer and tells when it is over. */
class Recorder extends AnswerListener {
  status = 0;
  body = '';
  headers: RawHeaders = [];
  private onOver: (outcome: string) => void = () => undefined;
  readonly over = new Promise<string>(resolve => (this.onOver = resolve));

  override onHead(status: number, _reason: string, headers: RawHeaders): void {
    this.status = status;
    this.headers = headers;
  }

  override onBody(chunk: Uint8Array): void {
    this.body += Buffer.from(chunk).toString();
  }

  override onEnd(isFramed: boolean): void {
    this.onOver(isFramed ? 'end' : 'end of connection');
  }

  override onFailure({wasSent}: ExchangeFailure): void {
    this.onOver(wasSent ? 'lost' : 'not sent');
  }
}

const servers: Server[] = [];
const connectors: HttpUpstreamConnector[] = [];

afterEach(() => {
  connectors.splice(0).forEach(connector => connector.dispose());
  servers.splice(0).forEach(server => server.close());
});

/** Serves by a function of the connection and the count of requests on it. */
async function serve(
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

function makeConnector(): HttpUpstreamConnector {
  const connector = new HttpUpstreamConnector();
  connectors.push(connector);
  return connector;
}

function open(
  connector: HttpUpstreamConnector,
  address: string,
  isAlone: boolean,
): Recorder {
  const recorder = new Recorder();
  connector.open(
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
  return recorder;
}

const HEAD = 'HTTP/1.1 200 OK\r\nX-Proof: p\r\n';

const cases: ReadonlyArray<{
  name: string;
  answer: (socket: Socket) => void;
  outcome: string;
  body: string;
}> = [
  {
    name: 'a whole answer',
    answer: socket => socket.write(`${HEAD}Content-Length: 2\r\n\r\nok`),
    outcome: 'end',
    body: 'ok',
  },
  {
    name: 'a chunked answer',
    answer: socket =>
      socket.write(
        `${HEAD}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`,
      ),
    outcome: 'end',
    body: 'ok',
  },
  {
    name: 'an answer without length that ends with its connection',
    answer: socket => socket.end(`${HEAD}Connection: close\r\n\r\nok`),
    outcome: 'end of connection',
    body: 'ok',
  },
  {
    name: 'an answer without length whose connection is reset',
    answer: socket =>
      socket.write(`${HEAD}Connection: close\r\n\r\no`, () =>
        setTimeout(() => socket.resetAndDestroy(), 20),
      ),
    outcome: 'lost',
    body: 'o',
  },
  {
    name: 'a reset at once behind an answer without length',
    answer: socket => {
      socket.write(`${HEAD}\r\no`);
      socket.resetAndDestroy();
    },
    outcome: 'lost',
    body: '',
  },
  {
    name: 'an answer that is too short',
    answer: socket => socket.end(`${HEAD}Content-Length: 9\r\n\r\nok`),
    outcome: 'lost',
    body: 'ok',
  },
  {
    name: 'a chunked answer that breaks off',
    answer: socket =>
      socket.end(`${HEAD}Transfer-Encoding: chunked\r\n\r\n9\r\nok`),
    outcome: 'lost',
    body: 'ok',
  },
  {
    name: 'bytes that are no answer',
    answer: socket => socket.write('rubbish\r\n\r\n'),
    outcome: 'lost',
    body: '',
  },
  {
    name: 'a connection that is closed',
    answer: socket => socket.end(),
    outcome: 'lost',
    body: '',
  },
];

describe.each([{isAlone: true}, {isAlone: false}])(
  'on a connection of its own: $isAlone',
  ({isAlone}) => {
    it.each(cases)('$name', async ({answer, outcome, body}) => {
      const address = await serve(socket => answer(socket));
      const recorder = open(makeConnector(), address, isAlone);
      expect(await recorder.over).toBe(outcome);
      expect(recorder.body).toContain(body);
    });
  },
);

it('keeps names, order and repetition of headers', async () => {
  let seen = '';
  const address = await serve(socket => {
    socket.on('data', bytes => (seen += bytes.toString()));
    socket.end(`${HEAD}X-Two: a\r\nX-Two: b\r\nContent-Length: 0\r\n\r\n`);
  });
  const recorder = open(makeConnector(), address, true);
  await recorder.over;
  expect(recorder.headers.join(' ')).toContain('X-Proof p X-Two a X-Two b');
});

it('does not take a second answer that comes unasked for the next one', async () => {
  const address = await serve((socket, count) => {
    const answer = `${HEAD}Content-Length: 1\r\n\r\n${count}`;
    socket.write(count === 1 ? `${answer}${answer}` : answer);
  });
  const connector = makeConnector();
  const first = open(connector, address, false);
  expect(await first.over).toBe('end');
  await new Promise(resolve => setTimeout(resolve, 30));
  const second = open(connector, address, false);
  expect(await second.over).toBe('end');
});

it('says of an upstream that nobody listens for that nothing was sent', async () => {
  const address = await serve(() => undefined);
  const [server] = servers.splice(0);
  await new Promise(resolve => server!.close(resolve));
  const recorder = open(makeConnector(), address, false);
  expect(await recorder.over).toBe('not sent');
});
