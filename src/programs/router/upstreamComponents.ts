import {Clock} from '../../base/common/clock.js';
import {EventLoop} from '../../base/common/eventLoop.js';
import {DisposableStore} from '../../base/common/lifecycle.js';
import {RandomSource} from '../../base/common/randomSource.js';
import {rankByRendezvous} from '../../base/common/rendezvous.js';
import {PromptGuard} from '../../features/crashes/common/promptGuard.js';
import {EndedUpstreams} from '../../features/fleet/common/endedUpstreams.js';
import {SlownessTracker} from '../../features/fleet/common/slownessTracker.js';
import {SuspicionTracker} from '../../features/fleet/common/suspicionTracker.js';
import {UpstreamAdmission} from '../../features/fleet/common/upstreamAdmission.js';
import {UpstreamControl} from '../../features/fleet/common/upstreamControl.js';
import {UpstreamDirectory} from '../../features/fleet/common/upstreamDirectory.js';
import {UpstreamLimitTracker} from '../../features/fleet/common/upstreamLimitTracker.js';
import {UpstreamRateLimiter} from '../../features/fleet/common/upstreamRateLimiter.js';
import {UpstreamRests} from '../../features/fleet/common/upstreamRests.js';
import {defaultForwardingSettings} from '../../features/forwarding/common/forwardingSettings.js';
import {OutcomeHistory} from '../../features/forwarding/common/outcomeHistory.js';
import {HttpUpstreamConnector} from '../../features/forwarding/node/httpUpstreamConnector.js';
import {UpstreamConnector} from '../../features/forwarding/common/upstreamExchange.js';
import {LateDialer} from '../../features/forwarding/node/lateDialer.js';
import {LateSendConnector} from '../../features/forwarding/node/lateSendConnector.js';
import {UpstreamProber} from '../../features/forwarding/node/upstreamProber.js';
import {InstanceTable} from '../../features/instances/common/instanceTable.js';
import {UpstreamLinks} from '../../features/links/common/upstreamLinks.js';
import {PrefillBacklog} from '../../features/paths/common/prefillBacklog.js';
import {Dialer} from '../../infrastructure/http/node/dialer.js';
import {Logger} from '../../infrastructure/logging/common/logger.js';
import {RouterSettings} from './routerSettings.js';

/** Constructs what an instance knows about each upstream, and what connects it to them. */

/** What the components depend on. */
export interface UpstreamDependencies {
  readonly clock: Clock;
  readonly eventLoop: EventLoop;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly directory: UpstreamDirectory;
  readonly suspicions: SuspicionTracker;
  readonly instances: InstanceTable;
  readonly upstreamControl: UpstreamControl;
  readonly links: UpstreamLinks;
  readonly dialer: Dialer;
}

/** The constructed parts. */
export interface UpstreamComponents {
  readonly slowness: SlownessTracker;
  readonly prober: UpstreamProber;
  readonly endedUpstreams: EndedUpstreams;
  readonly limits: UpstreamLimitTracker;
  readonly rests: UpstreamRests;
  readonly admission: UpstreamAdmission;
  readonly promptGuard: PromptGuard;
  readonly connector: UpstreamConnector;
  readonly outcomes: OutcomeHistory;
  readonly prefillBacklog: PrefillBacklog;
}

/** Constructs the components; `owned` disposes of them. */
export function createUpstreamComponents(
  {mechanisms, instance}: RouterSettings,
  dependencies: UpstreamDependencies,
  owned: DisposableStore,
): UpstreamComponents {
  const {clock, eventLoop, random, logger, directory, suspicions, instances} =
    dependencies;
  const {upstreamControl, links, dialer} = dependencies;
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
  const promptGuard = owned.add(
    new PromptGuard(clock, logger, mechanisms.blockedPrompts, part =>
      isFirstInstance(instances, instance.name, part),
    ),
  );
  const connector = owned.add(
    new HttpUpstreamConnector(
      new LateDialer(dialer, clock, eventLoop),
      clock,
      eventLoop,
    ),
  );
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
  return {
    slowness,
    prober,
    endedUpstreams,
    limits,
    rests,
    admission: new UpstreamAdmission(rateLimiter, rests),
    promptGuard,
    connector: new LateSendConnector(connector, clock, eventLoop),
    outcomes,
    prefillBacklog,
  };
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
