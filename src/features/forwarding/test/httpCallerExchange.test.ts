import {once} from 'node:events';
import {createServer, IncomingMessage, request} from 'node:http';

import {afterEach, describe, expect, it} from 'vitest';

import {
  addressOf,
  ANY_LOCAL_ADDRESS,
} from '../../../../test/support/localServer.js';
import {listen} from '../../../infrastructure/http/node/textServer.js';
import {HttpCallerExchange} from '../node/httpCallerExchange.js';
import {unlimitedCallerMemory} from './socketHarness.js';

/** Exchanges with callers over real sockets. */

/** By then a result that is ever to come is there. */
const RESULT_LIMIT_MILLISECONDS = 1_500;

const stops: Array<() => void> = [];

afterEach(() => stops.splice(0).forEach(stop => stop()));

// Guards against a request that stays in progress for good: its caller left before the body was asked for.
it('the body of a caller that has left is not awaited', async () => {
  let resolveBody: (body: unknown) => void = () => undefined;
  const body = new Promise(resolve => (resolveBody = resolve));
  const server = createServer((message, response) => {
    const exchange = new HttpCallerExchange(
      message,
      response,
      {receivedAt: 0},
      () => false,
      unlimitedCallerMemory,
    );
    exchange.onDidDisconnect(() => {
      setImmediate(() => void exchange.readBody(1_000).then(resolveBody));
    });
  });
  stops.push(() => server.close());
  await listen(server, ANY_LOCAL_ADDRESS);
  const outgoing = request(`http://${addressOf(server)}/`, {
    method: 'POST',
    headers: {'content-length': '5'},
  });
  outgoing.on('error', () => undefined);
  outgoing.write('a');
  setTimeout(() => outgoing.destroy(), 100);
  const never = new Promise(resolve =>
    setTimeout(() => resolve('never'), RESULT_LIMIT_MILLISECONDS),
  );
  expect(await Promise.race([body, never])).toEqual({kind: 'callerLeft'});
});

it('a connection whose body is not read to its end closes after the answer', async () => {
  const server = createServer((message, response) => {
    const exchange = new HttpCallerExchange(
      message,
      response,
      {receivedAt: 0},
      () => false,
      unlimitedCallerMemory,
    );
    void exchange.readBody(1_000);
    exchange.stopReading();
    exchange.sendRouterResponse({
      kind: 'notRun',
      reason: 'timeOver',
      retryAfterMilliseconds: 1,
    });
  });
  stops.push(() => server.close());
  await listen(server, ANY_LOCAL_ADDRESS);
  const outgoing = request(`http://${addressOf(server)}/`, {
    method: 'POST',
    headers: {'content-length': '5'},
  });
  outgoing.on('error', () => undefined);
  outgoing.write('a');
  const [response] = (await once(outgoing, 'response')) as [IncomingMessage];
  expect(response.statusCode).toBe(503);
  expect(response.headers.connection).toBe('close');
  outgoing.destroy();
});

describe('a response that Node.js refuses to write', () => {
  // Guards against an exception on the way to a caller: the request stayed unanswered and counted as in progress.
  it.each([
    {name: 'whole', send: 'sendResponse'},
    {name: 'in parts', send: 'sendHead'},
  ] as const)('is answered with 502 when sent $name', async ({send}) => {
    const failures: string[] = [];
    const server = createServer((message, response) => {
      const exchange = new HttpCallerExchange(
        message,
        response,
        {receivedAt: 0},
        () => false,
        unlimitedCallerMemory,
      );
      exchange.onDidFail(detail => failures.push(detail));
      const head = {status: 200, reason: '', headers: ['x', 'a\u0003']};
      exchange[send](head, Buffer.from('body'));
      exchange.write(Buffer.from('more'));
      exchange.end();
      expect(exchange.isOver).toBe(true);
    });
    stops.push(() => server.close());
    await listen(server, ANY_LOCAL_ADDRESS);
    const response = await fetch(`http://${addressOf(server)}/`);
    expect(response.status).toBe(502);
    expect(await response.json()).toEqual({error: 'unwritable response'});
    expect(failures).toEqual([expect.stringContaining('ERR_INVALID_CHAR')]);
  });
});
