import {Clock} from '../../base/common/clock.js';
import {EventLoop} from '../../base/common/eventLoop.js';
import {DisposableStore} from '../../base/common/lifecycle.js';
import {MemoryBudget} from '../../base/common/memoryBudget.js';
import {RandomSource} from '../../base/common/randomSource.js';
import {SuspicionTracker} from '../../features/fleet/common/suspicionTracker.js';
import {UpstreamDirectory} from '../../features/fleet/common/upstreamDirectory.js';
import {InstanceTable} from '../../features/instances/common/instanceTable.js';
import {ConnectionTester} from '../../features/links/common/connectionTester.js';
import {UpstreamLinks} from '../../features/links/common/upstreamLinks.js';
import {PeerReachability} from '../../features/links/common/reachability.js';
import {LinkMonitor} from '../../features/links/node/linkMonitor.js';
import {ReachabilityTester} from '../../features/links/node/reachabilityTester.js';
import {RelayClient} from '../../features/links/node/relayClient.js';
import {RelayingDialer} from '../../features/links/node/relayingDialer.js';
import {RpcPeerReachability} from '../../features/links/node/rpcPeerReachability.js';
import {Dialer} from '../../infrastructure/http/node/dialer.js';
import {Logger} from '../../infrastructure/logging/common/logger.js';
import {
  TunnelGuard,
  TunnelServer,
} from '../../infrastructure/tunnel/node/tunnelServer.js';
import {RouterSettings} from './routerSettings.js';

/** Constructs what connects instances to upstreams through each other. */

/** What the relay components depend on. */
export interface RelayDependencies {
  readonly clock: Clock;
  readonly eventLoop: EventLoop;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly directory: UpstreamDirectory;
  readonly suspicions: SuspicionTracker;
  readonly instances: InstanceTable;
  readonly connections: ConnectionTester;
  /** Accounts messages of peers. */
  readonly messageMemory: MemoryBudget;
}

/** The constructed parts. */
export interface RelayComponents {
  readonly links: UpstreamLinks;
  readonly relayClient: RelayClient;
  readonly dialer: Dialer;
  readonly tunnels: TunnelServer;
  /** Tests the links of this instance, for itself and for peers. */
  readonly ownLinks: ReachabilityTester;
  readonly peerLinks: PeerReachability;
}

/** Constructs the components; `owned` disposes of them. */
export function createRelayComponents(
  {mechanisms, peerKey}: RouterSettings,
  dependencies: RelayDependencies,
  owned: DisposableStore,
): RelayComponents {
  const {clock, eventLoop, random, logger, directory} = dependencies;
  const {suspicions, instances, connections, messageMemory} = dependencies;
  const links = owned.add(new UpstreamLinks(clock, logger));
  owned.add(
    links.onDidChange(() => {
      instances.isCutOff = links.isCutOff;
    }),
  );
  owned.add(instances.onDidBeginPeerStop(() => links.recordRelayStop()));
  const relayClient = new RelayClient(
    clock,
    random,
    logger,
    peerKey,
    () => instances.relays,
  );
  if (mechanisms.relayedLinks) {
    owned.add(
      new LinkMonitor(
        clock,
        links,
        relayClient,
        connections,
        directory,
        suspicions,
      ),
    );
  }
  const guard: TunnelGuard = address => {
    if (directory.findByAddress(address) === undefined) {
      return 'forbidden';
    }
    if (instances.state === 'stopping') {
      return 'full';
    }
    // Connections pass through one peer at most.
    return links.isRelayed(address) ? 'unreachable' : 'allowed';
  };
  const tunnels = owned.add(new TunnelServer(peerKey, guard, clock, eventLoop));
  const dialer = owned.add(new RelayingDialer(links, relayClient));
  const ownLinks = new ReachabilityTester(
    clock,
    random,
    connections,
    directory,
    suspicions,
  );
  const peerLinks = owned.add(
    new RpcPeerReachability(
      clock,
      logger,
      peerKey,
      () => instances.possiblyServing,
      messageMemory,
    ),
  );
  return {links, relayClient, dialer, tunnels, ownLinks, peerLinks};
}
