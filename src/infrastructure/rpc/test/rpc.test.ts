import {createServer} from 'node:http';
import {AddressInfo} from 'node:net';

import {afterAll, beforeAll, describe, expect, test} from 'vitest';

import {DisposableStore} from '../../../base/common/lifecycle.js';
import {
  createRpcClient,
  createRpcRouter,
  mergeRpcRouters,
  parseAddress,
  peerProcedure,
  RpcClient,
  serveRpc,
} from '../node/rpc.js';

const KEY = 'secret';
const owned = new DisposableStore();
let address: string;
let started: Promise<void>;
let markStarted: () => void;
let ended: Promise<void>;
let markEnded: () => void;

function text(value: unknown): string {
  if (typeof value !== 'string') {
    throw new Error('expected a string');
  }
  return value;
}

const words = createRpcRouter({
  words: createRpcRouter({
    echo: peerProcedure.input(text).mutation(({input}) => ({said: input})),
    find: peerProcedure.input(text).query(({input}) => `found ${input}`),
    nothing: peerProcedure.mutation(() => undefined),
    fail: peerProcedure.mutation(() => {
      throw new Error('as told');
    }),
    hang: peerProcedure.mutation(async ({signal}) => {
      markStarted();
      await new Promise<void>(resolve =>
        signal?.addEventListener('abort', () => resolve()),
      );
      markEnded();
    }),
  }),
});
const router = mergeRpcRouters(words, createRpcRouter({}));

beforeAll(async () => {
  address = `127.0.0.1:${await freePort()}`;
  owned.add(await serveRpc(router, address, KEY));
});

afterAll(() => owned.dispose());

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

function connect(key = KEY, to = address): RpcClient<typeof router> {
  return owned.add(createRpcClient<typeof router>(to, key));
}

function awaitHanging(): void {
  started = new Promise(resolve => (markStarted = resolve));
  ended = new Promise(resolve => (markEnded = resolve));
}

describe('calls', () => {
  type Call = (client: RpcClient<typeof router>) => Promise<unknown>;
  const good: Array<{name: string; call: Call; answer: unknown}> = [
    {
      name: 'a mutation',
      call: ({call}) => call.words.echo.mutate('héllo'),
      answer: {said: 'héllo'},
    },
    {
      name: 'a query',
      call: ({call}) => call.words.find.query('it'),
      answer: 'found it',
    },
    {
      name: 'without input and answer',
      call: ({call}) => call.words.nothing.mutate(),
      answer: undefined,
    },
    {
      name: 'a long input',
      call: ({call}) => call.words.find.query('x'.repeat(1_000_000)),
      answer: `found ${'x'.repeat(1_000_000)}`,
    },
  ];
  test.each(good)('$name', async ({call, answer}) => {
    expect(await call(connect())).toEqual(answer);
  });

  const bad: Array<{name: string; call: Call; key?: string; message: RegExp}> =
    [
      {
        name: 'a wrong key',
        call: ({call}) => call.words.echo.mutate('x'),
        key: 'wrong',
        message: /peer key missing or wrong/,
      },
      {
        name: 'a failing procedure',
        call: ({call}) => call.words.fail.mutate(),
        message: /as told/,
      },
      {
        name: 'an input that is refused',
        call: ({call}) => call.words.echo.mutate(7 as never),
        message: /expected a string/,
      },
      {
        name: 'an unknown procedure',
        call: ({call}) => (call.words as never as Echoing).missing.mutate('x'),
        message: /No "mutation"-procedure/,
      },
      {
        name: 'a body that is too large',
        call: ({call}) => call.words.echo.mutate('x'.repeat(5_000_000)),
        message: /larger than|socket|EPIPE|ECONNRESET/,
      },
    ];
  test.each(bad)('$name fails', async ({call, key, message}) => {
    const error = await call(connect(key)).then(
      () => undefined,
      (cause: Error) => cause,
    );
    expect(error?.message).toMatch(message);
    expect(error?.message).not.toContain(KEY);
  });

  test('to nobody fail', async () => {
    const client = connect(KEY, `127.0.0.1:${await freePort()}`);
    await expect(client.call.words.echo.mutate('x')).rejects.toThrow();
  });
});

describe('calls end on their signal', () => {
  test('before they began', async () => {
    const signal = AbortSignal.abort();
    const call = connect().call.words.echo.mutate('x', {signal});
    await expect(call).rejects.toThrow();
  });

  test('while the peer works, which then learns of it', async () => {
    awaitHanging();
    const controller = new AbortController();
    const {signal} = controller;
    const call = connect().call.words.hang.mutate(undefined, {signal});
    const failing = expect(call).rejects.toThrow();
    await started;
    controller.abort();
    await failing;
    await ended;
  });

  test('when the client is disposed', async () => {
    awaitHanging();
    const client = connect();
    const failing = expect(client.call.words.hang.mutate()).rejects.toThrow();
    await started;
    client.dispose();
    await failing;
    await ended;
  });
});

test('addresses are split at the last colon', () => {
  expect(parseAddress('10.0.0.1:80')).toEqual({host: '10.0.0.1', port: 80});
});

interface Echoing {
  readonly missing: {mutate(input: string): Promise<unknown>};
}
