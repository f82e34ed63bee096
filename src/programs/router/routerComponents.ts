import {randomUUID} from 'node:crypto';

import {Gauge, Registry} from 'prom-client';

import {Clock} from '../../base/common/clock.js';
import {anyEvent} from '../../base/common/event.js';
import {DisposableStore} from '../../base/common/lifecycle.js';
import {RandomSource} from '../../base/common/randomSource.js';
import {rankByRendezvous} from '../../base/common/rendezvous.js';
import {CrashDetector} from '../../features/crashes/common/crashDetector.js';
import {PromptGuard} from '../../features/crashes/common/promptGuard.js';
import {EndedUpstreams} from '../../features/fleet/common/endedUpstreams.js';
import {SuspicionTracker} from '../../features/fleet/common/suspicionTracker.js';
import {SlownessTracker} from '../../features/fleet/common/slownessTracker.js';
import {UpstreamDirectory} from '../../features/fleet/common/upstreamDirectory.js';
import {UpstreamLimitTracker} from '../../features/fleet/common/upstreamLimitTracker.js';
import {UpstreamRateLimiter} from '../../features/fleet/common/upstreamRateLimiter.js';
import {UpstreamAdmission} from '../../features/fleet/common/upstreamAdmission.js';
import {UpstreamRests} from '../../features/fleet/common/upstreamRests.js';
import {UpstreamListRefresher} from '../../features/fleet/common/upstreamListRefresher.js';
import {UpstreamLoadTracker} from '../../features/fleet/common/upstreamLoadTracker.js';
import {defaultForwardingSettings} from '../../features/forwarding/common/forwardingSettings.js';
import {OutcomeHistory} from '../../features/forwarding/common/outcomeHistory.js';
import {AnswerDurations} from '../../features/forwarding/common/answerDurations.js';
import {InstanceStop} from '../../features/forwarding/common/instanceStop.js';
import {RetryBudget} from '../../features/forwarding/common/retryBudget.js';
import {ForwardingServices} from '../../features/forwarding/node/forwardingServices.js';
import {HttpUpstreamConnector} from '../../features/forwarding/node/httpUpstreamConnector.js';
import {AdmissionConnector} from '../../features/forwarding/node/admissionConnector.js';
import {RequestHandler} from '../../features/forwarding/node/requestHandler.js';
import {RequestMetrics} from '../../features/forwarding/node/requestMetrics.js';
import {ResponseEndCheck} from '../../features/forwarding/node/responseEndCheck.js';
import {UpstreamEndCheck} from '../../features/forwarding/node/upstreamEndCheck.js';
import {StreamMonitor} from '../../features/forwarding/node/streamMonitor.js';
import {UpstreamProber} from '../../features/forwarding/node/upstreamProber.js';
import {InstanceRecord} from '../../features/instances/common/instance.js';
import {InstanceRegistry} from '../../features/instances/common/instanceRegistry.js';
import {InstanceTable} from '../../features/instances/common/instanceTable.js';
import {PeerGossip} from '../../features/instances/node/peerGossip.js';
import {
  LayerController,
  LEASE_PERIOD_MILLISECONDS,
} from '../../features/layers/common/layerController.js';
import {TableLease} from '../../features/placement/common/tableLease.js';
import {DirectConnectionTester} from '../../features/links/node/directConnectionTester.js';
import {ReachabilityTester} from '../../features/links/node/reachabilityTester.js';
import {LinkLoad} from '../../features/paths/common/linkLoad.js';
import {PrefillBacklog} from '../../features/paths/common/prefillBacklog.js';
import {ConfigurationFollower} from '../../features/traffic/common/configurationFollower.js';
import {ActiveConfiguration} from '../../features/traffic/common/activeConfiguration.js';
import {Logger} from '../../infrastructure/logging/common/logger.js';
import {TunnelServer} from '../../infrastructure/tunnel/node/tunnelServer.js';
import {createRelayComponents} from './relayComponents.js';
import {RouterPorts} from './routerPorts.js';
import {RouterSettings} from './routerSettings.js';

/** Constructs the components of the router. */

/** Key of the lease whose holder orders upstreams to load layers. */
const LEASE_KEY = 'leases/layers';

/** Duration of the lease: four renewal steps, so that it outlasts two lost responses. */
const LEASE_DURATION_MILLISECONDS = 4 * LEASE_PERIOD_MILLISECONDS;

/** Time before expiry from which the lease is not used, since clocks may run at slightly different rates. */
const LEASE_MARGIN_MILLISECONDS = 300;

/** Timeout of a call that reads or writes the lease. */
const LEASE_CALL_TIMEOUT_MILLISECONDS = 500;

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
  clock: Clock,
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
      {clock, random, logger, directory, suspicions, instances, connections},
      owned,
    );
  const upstreamControl = owned.add(ports.createUpstreamControl(dialer));
  const registry = new InstanceRegistry(ports.table, logger);
  const load = new UpstreamLoadTracker();
  const slowness = owned.add(new SlownessTracker(clock, logger));
  const prober = owned.add(
    new UpstreamProber(
      clock,
      upstreamControl,
      directory,
      suspicions,
      slowness,
      defaultForwardingSettings.trialMilliseconds,
    ),
  );
  const endedUpstreams = owned.add(
    new EndedUpstreams(clock, logger, suspicions),
  );
  const limits = new UpstreamLimitTracker(clock, logger);
  const rateLimiter = new UpstreamRateLimiter(
    clock,
    random,
    limits,
    () => instances.limitSharers,
  );
  const rests = owned.add(new UpstreamRests(clock, logger));
  const admission = new UpstreamAdmission(rateLimiter, rests);
  const promptGuard = owned.add(
    new PromptGuard(clock, logger, mechanisms.blockedPrompts, part =>
      isFirstInstance(instances, ownRecord.name, part),
    ),
  );
  const connector = owned.add(new HttpUpstreamConnector(dialer));
  owned.add(links.onDidChange(() => prober.recheckSuspected()));
  const outcomes = new OutcomeHistory(clock);
  const prefillBacklog = new PrefillBacklog(
    clock,
    () => instances.instanceCount,
    id => slowness.factorOf(id),
  );
  owned.add(
    directory.onDidChange(() => {
      const isListed = (id: string): boolean =>
        directory.find(id) !== undefined;
      connector.retain(isListed);
      outcomes.retain(isListed);
      limits.retain(isListed);
      rateLimiter.retain(isListed);
      rests.retain(isListed);
      prefillBacklog.retain(isListed);
    }),
  );
  const metrics = new Registry();
  registerGauge(
    metrics,
    'redwing_limited_upstreams',
    'Upstreams that name a limit of requests a second.',
    () => limits.limitedCount,
  );
  registerGauge(
    metrics,
    'redwing_resting_upstreams',
    'Upstreams that asked this instance for a time without requests.',
    () => rests.count,
  );
  registerGauge(
    metrics,
    'redwing_relayed_upstreams',
    'Upstreams that this instance reaches only through peers.',
    () => links.relayedAddresses.length,
  );
  registerGauge(
    metrics,
    'redwing_open_tunnels',
    'Connections to upstreams that this instance relays for peers.',
    () => tunnels.count,
  );
  registerGauge(
    metrics,
    'redwing_suspect_prompt_parts',
    'Prompt parts under which upstreams keep crashing.',
    () => promptGuard.suspectPartCount,
  );
  registerGauge(
    metrics,
    'redwing_remembered_crashes',
    'Crashes of upstreams in the last day, with the requests that may have caused them.',
    () => promptGuard.crashCount,
  );
  const services: ForwardingServices = {
    settings: defaultForwardingSettings,
    mechanisms,
    clock,
    random,
    logger,
    metrics: new RequestMetrics(metrics),
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
    crashDetector: owned.add(
      new CrashDetector(
        clock,
        directory,
        suspicions,
        promptGuard,
        () => instances.isCutOff,
      ),
    ),
    durations: new AnswerDurations(),
    stop: new InstanceStop(),
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
  const lease = new TableLease(
    LEASE_KEY,
    formatHolder(ownRecord),
    ports.table,
    clock,
    randomUUID,
    {
      durationMilliseconds: LEASE_DURATION_MILLISECONDS,
      marginMilliseconds: LEASE_MARGIN_MILLISECONDS,
      callMilliseconds: LEASE_CALL_TIMEOUT_MILLISECONDS,
      // Lost upstreams must be replaced during an outage of the store, too. Upstreams check fencing numbers.
      actsUnrenewed: true,
    },
    (holder, since) => hasHolderEnded(instances, holder, since),
  );
  const gossip = owned.add(
    new PeerGossip(clock, random, logger, ownRecord, settings.peerKey, {
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
      lease,
      mechanisms,
      relaysOf: id =>
        relayClient.recentRelays(directory.find(id)?.address ?? ''),
    }),
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

function registerGauge(
  registry: Registry,
  name: string,
  help: string,
  read: () => number,
): void {
  new Gauge({
    name,
    help,
    registers: [registry],
    collect() {
      this.set(read());
    },
  });
}

/** Whether an instance ranks first for a key among those that serve. */
function isFirstInstance(
  instances: InstanceTable,
  name: string,
  key: string,
): boolean {
  const serving = instances.serving.map(record => record.name);
  const [first] = rankByRendezvous(key, serving, candidate => candidate);
  return first === name;
}

/** Formats a run of an instance as a lease holder: the name, a space and the start time. */
function formatHolder({name, startedAt}: InstanceRecord): string {
  return `${name} ${startedAt}`;
}

function hasHolderEnded(
  instances: InstanceTable,
  holder: string,
  writtenBefore: number,
): boolean {
  const separator = holder.lastIndexOf(' ');
  const startedAt = Number(holder.slice(separator + 1));
  return (
    separator > 0 &&
    Number.isFinite(startedAt) &&
    instances.hasRunEnded(holder.slice(0, separator), startedAt, writtenBefore)
  );
}

function confirmationLimit({revocationMilliseconds}: RouterSettings): number {
  return revocationMilliseconds === undefined
    ? DEFAULT_CONFIRMATION_LIMIT_MILLISECONDS
    : Math.max(
        revocationMilliseconds / 2,
        revocationMilliseconds - REVOCATION_MARGIN_MILLISECONDS,
      );
}
