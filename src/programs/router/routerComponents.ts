import {Registry} from 'prom-client';

import {Clock} from '../../base/common/clock.js';
import {EventLoop} from '../../base/common/eventLoop.js';
import {anyEvent} from '../../base/common/event.js';
import {DisposableStore} from '../../base/common/lifecycle.js';
import {RandomSource} from '../../base/common/randomSource.js';
import {CrashRecordKeeper} from '../../features/crashes/common/crashRecordKeeper.js';
import {CrashDetector} from '../../features/crashes/common/crashDetector.js';
import {SuspicionTracker} from '../../features/fleet/common/suspicionTracker.js';
import {UpstreamDirectory} from '../../features/fleet/common/upstreamDirectory.js';
import {UpstreamListRefresher} from '../../features/fleet/common/upstreamListRefresher.js';
import {UpstreamLoadTracker} from '../../features/fleet/common/upstreamLoadTracker.js';
import {defaultForwardingSettings} from '../../features/forwarding/common/forwardingSettings.js';
import {InstanceStop} from '../../features/forwarding/common/instanceStop.js';
import {RetryBudget} from '../../features/forwarding/common/retryBudget.js';
import {ForwardingServices} from '../../features/forwarding/node/forwardingServices.js';
import {AdmissionConnector} from '../../features/forwarding/node/admissionConnector.js';
import {RequestHandler} from '../../features/forwarding/node/requestHandler.js';
import {RequestMetrics} from '../../features/forwarding/node/requestMetrics.js';
import {ResponseEndCheck} from '../../features/forwarding/node/responseEndCheck.js';
import {UpstreamEndCheck} from '../../features/forwarding/node/upstreamEndCheck.js';
import {StreamMonitor} from '../../features/forwarding/node/streamMonitor.js';
import {InstanceRecord} from '../../features/instances/common/instance.js';
import {InstanceRegistry} from '../../features/instances/common/instanceRegistry.js';
import {InstanceTable} from '../../features/instances/common/instanceTable.js';
import {RequestLosses} from '../../features/crashes/common/requestLosses.js';
import {RpcLossAnnouncer} from '../../features/instances/node/rpcLossAnnouncer.js';
import {PeerGossip} from '../../features/instances/node/peerGossip.js';
import {LayerController} from '../../features/layers/common/layerController.js';
import {DirectConnectionTester} from '../../features/links/node/directConnectionTester.js';
import {ReachabilityTester} from '../../features/links/node/reachabilityTester.js';
import {LinkLoad} from '../../features/paths/common/linkLoad.js';
import {ConfigurationFollower} from '../../features/traffic/common/configurationFollower.js';
import {ActiveConfiguration} from '../../features/traffic/common/activeConfiguration.js';
import {Logger} from '../../infrastructure/logging/common/logger.js';
import {TunnelServer} from '../../infrastructure/tunnel/node/tunnelServer.js';
import {createCrashRecordKeeper} from './crashRecord.js';
import {createLayerLease} from './layerLease.js';
import {createRelayComponents} from './relayComponents.js';
import {ReceivedMemory} from './receivedMemory.js';
import {RouterPorts} from './routerPorts.js';
import {RouterSettings} from './routerSettings.js';
import {createUpstreamComponents} from './upstreamComponents.js';
import {registerMemoryGauge} from './memoryGauge.js';
import {registerUpstreamGauges} from './upstreamGauges.js';

/** Constructs the components of the router. */

/** Part of the revocation bound that is reserved for a request to reach its upstream. */
const REVOCATION_MARGIN_MILLISECONDS = 700;

/** Time for which an unconfirmed configuration is used when there is no revocation bound. */
const DEFAULT_CONFIRMATION_LIMIT_MILLISECONDS = 60_000;

/** Components that the program starts, stops or serves. */
export interface RouterComponents {
  readonly activeConfiguration: ActiveConfiguration;
  readonly configurationFollower: ConfigurationFollower;
  readonly directory: UpstreamDirectory;
  readonly upstreamLister: UpstreamListRefresher;
  readonly instances: InstanceTable;
  readonly registry: InstanceRegistry;
  readonly gossip: PeerGossip;
  readonly crashRecordKeeper: CrashRecordKeeper;
  readonly requestLosses: RequestLosses;
  readonly lossAnnouncer: RpcLossAnnouncer;
  readonly layers: LayerController;
  readonly handler: RequestHandler;
  readonly tunnels: TunnelServer;
  readonly ownLinks: ReachabilityTester;
  readonly metrics: Registry;
}

/** Constructs all components; `owned` disposes of them. */
export function createRouterComponents(
  settings: RouterSettings,
  ports: RouterPorts,
  memory: ReceivedMemory,
  clock: Clock,
  eventLoop: EventLoop,
  random: RandomSource,
  logger: Logger,
  owned: DisposableStore,
): RouterComponents {
  const {mechanisms} = settings;
  const ownRecord: InstanceRecord = {
    ...settings.instance,
    startedAt: clock.wallMilliseconds(),
    callerAddress: settings.listen.callers,
    peerAddress: settings.listen.peers,
  };
  const activeConfiguration = owned.add(
    new ActiveConfiguration(clock, logger, confirmationLimit(settings)),
  );
  const directory = owned.add(new UpstreamDirectory(clock, logger));
  const suspicions = owned.add(new SuspicionTracker(clock, logger));
  const instances = new InstanceTable(clock, logger, ownRecord);
  const connections = new DirectConnectionTester();
  const {links, relayClient, dialer, tunnels, ownLinks, peerLinks} =
    createRelayComponents(
      settings,
      {
        clock,
        eventLoop,
        random,
        logger,
        directory,
        suspicions,
        instances,
        connections,
        messageMemory: memory.messages,
      },
      owned,
    );
  const upstreamControl = owned.add(ports.createUpstreamControl(dialer));
  const registry = new InstanceRegistry(ports.table, logger);
  const load = new UpstreamLoadTracker(() => instances.servingPeerCount);
  const upstreamComponents = createUpstreamComponents(
    settings,
    {
      clock,
      eventLoop,
      random,
      logger,
      directory,
      suspicions,
      instances,
      upstreamControl,
      links,
      dialer,
    },
    owned,
  );
  const {slowness, prober, endedUpstreams, limits, rests} = upstreamComponents;
  const {admission, promptGuard, connector, outcomes, prefillBacklog} =
    upstreamComponents;
  const metrics = new Registry();
  registerMemoryGauge(metrics, memory);
  registerUpstreamGauges(metrics, {
    limits,
    rests,
    links,
    tunnels,
    promptGuard,
  });
  const crashDetector = owned.add(
    new CrashDetector(
      clock,
      directory,
      suspicions,
      promptGuard,
      () => instances.isCutOff,
    ),
  );
  const crashRecordKeeper = owned.add(
    createCrashRecordKeeper(clock, logger, ports, promptGuard, instances),
  );
  const requestLosses = owned.add(
    new RequestLosses(
      clock,
      logger,
      endedUpstreams,
      id => crashDetector.hasEnded(id),
      () => instances.isCutOff,
    ),
  );
  const lossAnnouncer = owned.add(
    new RpcLossAnnouncer(
      clock,
      logger,
      settings.peerKey,
      ownRecord.name,
      requestLosses,
      instances,
      memory.messages,
    ),
  );
  const services: ForwardingServices = {
    settings: defaultForwardingSettings,
    mechanisms,
    clock,
    eventLoop,
    random,
    logger,
    metrics: new RequestMetrics(metrics),
    responseMemory: memory.responses,
    headerCodec: ports.headerCodec,
    connector: new AdmissionConnector(
      connector,
      ports.headerCodec,
      clock,
      directory,
      limits,
      rests,
      admission,
      links,
    ),
    control: upstreamControl,
    configuration: activeConfiguration,
    directory,
    suspicions,
    endedUpstreams,
    endCheck: new UpstreamEndCheck(
      clock,
      upstreamControl,
      ownLinks,
      peerLinks,
      endedUpstreams,
    ),
    prober,
    responseEndCheck: new ResponseEndCheck(prober, links),
    load,
    linkLoad: new LinkLoad(clock, () => instances.instanceCount),
    readingBacklog: prefillBacklog,
    slowness,
    admission,
    budget: new RetryBudget(
      clock,
      settings.retries,
      () => instances.instanceCount,
    ),
    outcomes,
    promptGuard,
    crashDetector,
    requestLosses,
    lossAnnouncer,
    stop: new InstanceStop(() => instances.isProbablyServedElsewhere),
  };
  const streamWatch = owned.add(
    new StreamMonitor(
      clock,
      directory,
      suspicions,
      slowness,
      prober,
      defaultForwardingSettings.watchPeriodMilliseconds,
      mechanisms.silenceWatch,
    ),
  );
  const lease = createLayerLease(ownRecord, ports.table, clock, instances);
  const gossip = owned.add(
    new PeerGossip(
      clock,
      random,
      logger,
      ownRecord,
      settings.peerKey,
      {
        instances,
        registry,
        directory,
        load,
        slowness,
        limits,
        rests,
        suspicions,
        prober,
        promptGuard,
        crashRecordKeeper,
        requestLosses,
        lease,
        mechanisms,
        relaysOf: id =>
          relayClient.recentRelays(directory.find(id)?.address ?? ''),
      },
      memory.messages,
    ),
  );
  return {
    activeConfiguration,
    directory,
    instances,
    registry,
    tunnels,
    ownLinks,
    metrics,
    configurationFollower: owned.add(
      new ConfigurationFollower(
        clock,
        logger,
        ports.configurationSource,
        activeConfiguration,
        anyEvent(
          ports.configurationSource.onDidRecover,
          directory.onDidEndOutage,
        ),
      ),
    ),
    upstreamLister: owned.add(
      new UpstreamListRefresher(
        clock,
        random,
        logger,
        ports.upstreams,
        directory,
        () => instances.listAgeLimitMilliseconds,
      ),
    ),
    gossip,
    crashRecordKeeper,
    requestLosses,
    lossAnnouncer,
    layers: owned.add(
      new LayerController(
        clock,
        random,
        logger,
        lease,
        upstreamControl,
        activeConfiguration,
        directory,
        suspicions,
        slowness,
        mechanisms,
        () => gossip.isLeaseHolderLive,
      ),
    ),
    handler: new RequestHandler(services, streamWatch),
  };
}

function confirmationLimit({revocationMilliseconds}: RouterSettings): number {
  return revocationMilliseconds === undefined
    ? DEFAULT_CONFIRMATION_LIMIT_MILLISECONDS
    : Math.max(
        revocationMilliseconds / 2,
        revocationMilliseconds - REVOCATION_MARGIN_MILLISECONDS,
      );
}
