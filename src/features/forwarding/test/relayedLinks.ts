import {createServer, Server as HttpServer} from 'node:http';

import {
  addressOf,
  ANY_LOCAL_ADDRESS,
} from '../../../../test/support/localServer.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {FakeEventLoop} from '../../../../test/support/fakeEventLoop.js';
import {SeededRandomSource} from '../../../base/common/randomSource.js';
import {Disposable, toDisposable} from '../../../base/common/lifecycle.js';
import {SystemClock} from '../../../base/node/systemClock.js';
import {Dialer} from '../../../infrastructure/http/node/dialer.js';
import {listen} from '../../../infrastructure/http/node/textServer.js';
import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {TunnelServer} from '../../../infrastructure/tunnel/node/tunnelServer.js';
import {UpstreamLinks} from '../../links/common/upstreamLinks.js';
import {RelayClient} from '../../links/node/relayClient.js';
import {RelayingDialer} from '../../links/node/relayingDialer.js';

/** Real connections to upstreams through a peer on the loopback address. */

const KEY = 'key';

/** Creates a dialer that reaches some upstreams through one peer only. */
export function createRelayingDialer(
  peerAddress: string,
  upstreamAddresses: readonly string[],
): Dialer & Disposable {
  const clock = new SystemClock();
  const logger = new SilentLogger();
  const links = new UpstreamLinks(clock, logger);
  for (const address of upstreamAddresses) {
    links.recordTest(address, {isDirect: false, isRelayed: true});
  }
  const relays = [{name: 'peer', peerAddress}];
  const random = new SeededRandomSource(1);
  const client = new RelayClient(clock, random, logger, KEY, () => relays);
  return new RelayingDialer(links, client);
}

/** Starts a peer that relays all connections; resolves with its address. */
export async function startRelay(): Promise<Disposable & {address: string}> {
  const server: HttpServer = createServer();
  const clock = new FakeClock();
  const tunnels = new TunnelServer(
    KEY,
    () => 'allowed',
    clock,
    new FakeEventLoop(clock),
  );
  tunnels.attach(server);
  await listen(server, ANY_LOCAL_ADDRESS);
  const stop = toDisposable(() => {
    tunnels.dispose();
    server.close();
    server.closeAllConnections();
  });
  return {address: addressOf(server), dispose: () => stop.dispose()};
}
