import {
  createServer as createHttpServer,
  Server as HttpServer,
} from 'node:http';
import {AddressInfo, createServer, Server, Socket} from 'node:net';

import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {
  closings,
  CuttingServer,
  mapInBatches,
} from '../../../../test/standins/cutAnswers.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {FakeEventLoop} from '../../../../test/support/fakeEventLoop.js';
import {isEndOfReset} from '../../../base/node/socketEnd.js';
import {openTunnel} from '../node/openTunnel.js';
import {TunnelGuard, TunnelServer} from '../node/tunnelServer.js';

const HOST = '127.0.0.1';
const KEY = 'key';
const TIMEOUT_MILLISECONDS = 500;
const BATCH_SIZE = 16;

function listen(server: Server | HttpServer): Promise<string> {
  return new Promise(resolve =>
    server.listen(0, HOST, () =>
      resolve(`${HOST}:${(server.address() as AddressInfo).port}`),
    ),
  );
}

function nextEvent(socket: Socket, name: string): Promise<unknown> {
  return new Promise(resolve => socket.once(name, resolve));
}

describe('a tunnel', () => {
  let target: Server;
  let targetAddress: string;
  let relay: HttpServer;
  let relayAddress: string;
  let tunnels: TunnelServer;
  const clock = new FakeClock();
  let eventLoop: FakeEventLoop;
  let decision: ReturnType<TunnelGuard>;
  /** What the target does with a connection. */
  let serve: (socket: Socket) => void;

  beforeEach(async () => {
    decision = 'allowed';
    serve = socket => socket.pipe(socket);
    target = createServer(socket => {
      socket.on('error', () => undefined);
      serve(socket);
    });
    targetAddress = await listen(target);
    eventLoop = new FakeEventLoop(clock);
    tunnels = new TunnelServer(KEY, () => decision, clock, eventLoop);
    relay = createHttpServer();
    tunnels.attach(relay);
    relayAddress = await listen(relay);
  });

  afterEach(() => {
    tunnels.dispose();
    relay.close();
    relay.closeAllConnections();
    target.close();
  });

  async function open(peerKey = KEY, address = targetAddress) {
    return openTunnel({
      relayAddress,
      targetAddress: address,
      peerKey,
      milliseconds: TIMEOUT_MILLISECONDS,
    });
  }

  async function openSocket(): Promise<Socket> {
    const tunnel = await open();
    if (!tunnel.ok) {
      throw new Error(tunnel.error);
    }
    return tunnel.value;
  }

  it('passes bytes unchanged in both directions', async () => {
    const socket = await openSocket();
    const sent = Buffer.from([...Array(256).keys()]);
    socket.write(sent);
    expect(await nextEvent(socket, 'data')).toEqual(sent);
    expect(tunnels.count).toBe(1);
    socket.destroy();
    await tunnels.idle();
    expect(tunnels.count).toBe(0);
  });

  it.each<{
    name: string;
    decision: ReturnType<TunnelGuard>;
    key: string;
    error: string;
  }>([
    {name: 'a wrong key', decision: 'allowed', key: 'no', error: 'status 401'},
    {
      name: 'an address that is no upstream',
      decision: 'forbidden',
      key: KEY,
      error: 'status 403',
    },
    {
      name: 'an upstream that the relay reaches only through others',
      decision: 'unreachable',
      key: KEY,
      error: 'status 502',
    },
    {
      name: 'a relay that is stopping',
      decision: 'full',
      key: KEY,
      error: 'status 503',
    },
  ])('is refused for $name', async ({decision: decided, key, error}) => {
    decision = decided;
    expect(await open(key)).toEqual({ok: false, error});
  });

  it('is refused when the target refuses the connection', async () => {
    target.close();
    expect(await open()).toEqual({ok: false, error: 'status 502'});
  });

  it('ends with the clean end of the target', async () => {
    serve = socket => socket.end('all');
    const socket = await openSocket();
    const received: string[] = [];
    socket.on('data', chunk => received.push(String(chunk)));
    await nextEvent(socket, 'end');
    expect(received.join('')).toBe('all');
  });

  it.each([
    {name: 'later', milliseconds: 20},
    {name: 'right after its data', milliseconds: 0},
  ])(
    'is reset when the target resets $name, so that no truncated response looks complete',
    async ({milliseconds}) => {
      serve = socket =>
        socket.once('data', () => {
          socket.write('part');
          const reset = (): unknown => socket.resetAndDestroy();
          return milliseconds === 0 ? reset() : setTimeout(reset, milliseconds);
        });
      const socket = await openSocket();
      socket.write('request');
      const isReset = new Promise<boolean>(resolve => {
        socket.once('error', error =>
          resolve((error as NodeJS.ErrnoException).code === 'ECONNRESET'),
        );
        socket.once('end', () => resolve(isEndOfReset(socket)));
      });
      socket.resume();
      expect(await isReset).toBe(true);
    },
  );

  it.each([
    {user: 'has left', received: ''},
    {user: 'still waits', received: 'request'},
  ])(
    'whose relay was late passes "$received" on when its user $user',
    async ({user, received}) => {
      let passed = '';
      const isOpen = new Promise<Socket>(resolve => (serve = resolve));
      const socket = await openSocket();
      const atTarget = await isOpen;
      atTarget.on('data', chunk => (passed += String(chunk)));
      eventLoop.latenessMilliseconds = 700;
      socket.write('request');
      await vi.waitFor(() => expect(eventLoop.isAwaited).toBe(true));
      if (user === 'has left') {
        socket.destroy();
        await new Promise(resolve => setTimeout(resolve, 50));
      }
      eventLoop.read();
      await vi.waitFor(() => expect(passed).toBe(received));
      socket.destroy();
      await nextEvent(atTarget, 'close');
      expect(passed).toBe(received);
    },
  );

  it('closes the connection to the target when its user leaves', async () => {
    const closed = new Promise<void>(resolve => {
      serve = socket => socket.once('close', () => resolve());
    });
    const socket = await openSocket();
    socket.destroy();
    await closed;
  });
});

describe("a peer's answer to a tunnel that stops", () => {
  const text = 'HTTP/1.1 200 Connection Established\r\n\r\n';

  it.each(closings)('with %s at any byte opens no tunnel', async closing => {
    const opened = await mapInBatches(
      [...text].map((_, bytes) => ({bytes, closing})),
      BATCH_SIZE,
      async cut => {
        const peer = new CuttingServer(() => ({text, cut}));
        const tunnel = await openTunnel({
          relayAddress: await peer.start(),
          targetAddress: `${HOST}:1`,
          peerKey: KEY,
          milliseconds: TIMEOUT_MILLISECONDS,
        });
        peer.stop();
        return tunnel.ok || tunnel.error === 'timeout' ? cut.bytes : undefined;
      },
    );
    expect(opened.filter(bytes => bytes !== undefined)).toEqual([]);
  });
});
