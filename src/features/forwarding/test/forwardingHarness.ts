import {Registry} from 'prom-client';
import {MemoryBudget} from '../../../base/common/memoryBudget.js';
import {SeededRandomSource} from '../../../base/common/randomSource.js';
import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {FakeEventLoop} from '../../../../test/support/fakeEventLoop.js';
import {SlownessTracker} from '../../fleet/common/slownessTracker.js';
import {EndedUpstreams} from '../../fleet/common/endedUpstreams.js';
import {SuspicionTracker} from '../../fleet/common/suspicionTracker.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {UpstreamDirectory} from '../../fleet/common/upstreamDirectory.js';
import {UpstreamLimitTracker} from '../../fleet/common/upstreamLimitTracker.js';
import {UpstreamAdmission} from '../../fleet/common/upstreamAdmission.js';
import {UpstreamRests} from '../../fleet/common/upstreamRests.js';
import {UpstreamRateLimiter} from '../../fleet/common/upstreamRateLimiter.js';
import {UpstreamLoadTracker} from '../../fleet/common/upstreamLoadTracker.js';
import {UpstreamLinks} from '../../links/common/upstreamLinks.js';
import {ReachabilityTester} from '../../links/node/reachabilityTester.js';
import {LinkLoad} from '../../paths/common/linkLoad.js';
import {PrefillBacklog} from '../../paths/common/prefillBacklog.js';
import {RequestLosses} from '../../crashes/common/requestLosses.js';
import {CrashDetector} from '../../crashes/common/crashDetector.js';
import {PromptGuard} from '../../crashes/common/promptGuard.js';
import {
  defaultMechanisms,
  Mechanisms,
} from '../../mechanisms/common/mechanisms.js';
import {ActiveConfiguration} from '../../traffic/common/activeConfiguration.js';
import {TrafficConfiguration} from '../../traffic/common/trafficConfiguration.js';
import {defaultForwardingSettings} from '../common/forwardingSettings.js';
import {OutcomeHistory} from '../common/outcomeHistory.js';
import {InstanceStop} from '../common/instanceStop.js';
import {RetryBudget} from '../common/retryBudget.js';
import {UpstreamConnector} from '../common/upstreamExchange.js';
import {ForwardingServices} from '../node/forwardingServices.js';
import {AdmissionConnector} from '../node/admissionConnector.js';
import {RequestHandler} from '../node/requestHandler.js';
import {ResponseEndCheck} from '../node/responseEndCheck.js';
import {RequestMetrics} from '../node/requestMetrics.js';
import {StreamMonitor} from '../node/streamMonitor.js';
import {UpstreamEndCheck} from '../node/upstreamEndCheck.js';
import {UpstreamProber} from '../node/upstreamProber.js';
import {FakeCaller} from './fakeCaller.js';
import {FakeHeaderCodec} from './fakeHeaderCodec.js';
import {
  FakeConnectionTester,
  FakeControl,
  FakeLossAnnouncer,
  FakePeerReachability,
} from './fakeUpstreamCalls.js';
import {FakeConnector} from './fakeUpstreams.js';

/** Test harness for forwarding: everything outside it is replaced by fakes that a test controls. */

const MEMORY_BYTES = 16 * 1024 * 1024;

/** A request handler with fake dependencies. */
export class ForwardingHarness {
  readonly clock = new FakeClock();
  readonly eventLoop = new FakeEventLoop(this.clock);
  /** Memory for responses. */
  readonly memory = new MemoryBudget(MEMORY_BYTES);
  readonly connector = new FakeConnector();
  readonly control = new FakeControl(this.clock);
  readonly connections = new FakeConnectionTester();
  readonly peerLinks = new FakePeerReachability(this.connections);
  readonly lossAnnouncer = new FakeLossAnnouncer();
  readonly configuration: ActiveConfiguration;
  readonly directory: UpstreamDirectory;
  readonly suspicions: SuspicionTracker;
  readonly limits: UpstreamLimitTracker;
  readonly links: UpstreamLinks;
  readonly services: ForwardingServices;
  readonly handler: RequestHandler;
  /** Whether another instance serves callers. */
  isServedElsewhere = true;
  private count = 0;

  constructor(
    configuration: TrafficConfiguration,
    upstreams: readonly Upstream[],
    mechanisms: Partial<Mechanisms> = {},
    /** Sends requests in place of the fake. */
    realConnector?: UpstreamConnector,
  ) {
    const {clock, control} = this;
    const connector = realConnector ?? this.connector;
    const logger = new SilentLogger();
    this.configuration = new ActiveConfiguration(clock, logger, 4000);
    this.configuration.activateIfNewer(configuration);
    this.configuration.confirm(this.configuration.now());
    this.directory = new UpstreamDirectory(clock, logger);
    this.directory.replace(upstreams);
    this.suspicions = new SuspicionTracker(clock, logger);
    const {directory, suspicions} = this;
    const settings = defaultForwardingSettings;
    const slowness = new SlownessTracker(clock, logger);
    const prober = new UpstreamProber(
      clock,
      control,
      directory,
      suspicions,
      slowness,
      settings.trialMilliseconds,
    );
    this.links = new UpstreamLinks(clock, logger);
    this.limits = new UpstreamLimitTracker(clock, logger);
    const random = new SeededRandomSource(1);
    const rateLimiter = new UpstreamRateLimiter(
      clock,
      random,
      this.limits,
      () => ({
        ownName: 'own',
        live: [{name: 'own', dataCentre: 'north'}],
        silentCount: 0,
      }),
    );
    const rests = new UpstreamRests(clock, logger);
    const admission = new UpstreamAdmission(rateLimiter, rests);
    const headerCodec = new FakeHeaderCodec();
    const promptGuard = new PromptGuard(clock, logger, true, () => true);
    const endedUpstreams = new EndedUpstreams(clock, logger, suspicions);
    const crashDetector = new CrashDetector(
      clock,
      directory,
      suspicions,
      promptGuard,
      () => false,
    );
    this.services = {
      settings,
      mechanisms: {...defaultMechanisms, ...mechanisms},
      clock,
      eventLoop: this.eventLoop,
      random,
      logger,
      metrics: new RequestMetrics(new Registry()),
      responseMemory: this.memory,
      headerCodec,
      connector: new AdmissionConnector(
        connector,
        headerCodec,
        clock,
        directory,
        this.limits,
        rests,
        admission,
        this.links,
      ),
      control,
      configuration: this.configuration,
      directory,
      suspicions,
      endedUpstreams,
      endCheck: new UpstreamEndCheck(
        clock,
        control,
        new ReachabilityTester(
          clock,
          random,
          this.connections,
          directory,
          suspicions,
        ),
        this.peerLinks,
        endedUpstreams,
      ),
      prober,
      responseEndCheck: new ResponseEndCheck(prober, this.links),
      load: new UpstreamLoadTracker(),
      linkLoad: new LinkLoad(clock, () => 1),
      readingBacklog: new PrefillBacklog(
        clock,
        () => 1,
        () => 1,
      ),
      slowness,
      admission,
      budget: new RetryBudget(
        clock,
        {ratio: 0.2, slack: 100, windowMilliseconds: 10_000},
        () => 1,
      ),
      outcomes: new OutcomeHistory(clock),
      promptGuard,
      crashDetector,
      requestLosses: new RequestLosses(
        clock,
        logger,
        endedUpstreams,
        id => crashDetector.hasEnded(id),
        () => false,
      ),
      lossAnnouncer: this.lossAnnouncer,
      stop: new InstanceStop(() => this.isServedElsewhere),
    };
    const monitor = new StreamMonitor(
      clock,
      directory,
      suspicions,
      slowness,
      prober,
      settings.watchPeriodMilliseconds,
      this.services.mechanisms.silenceWatch,
    );
    this.handler = new RequestHandler(this.services, monitor);
  }

  /** Sends a caller's request; resolves once it was dispatched or answered. */
  async send(
    target: string,
    headers: readonly string[] = [],
    body = '',
  ): Promise<FakeCaller> {
    const caller = new FakeCaller(
      {
        method: 'POST',
        target,
        headers: [
          'id',
          `request-${++this.count}`,
          'host',
          'host.example',
          'key',
          'key',
          ...headers,
        ],
        receivedAt: this.clock.monotonicMilliseconds(),
      },
      body,
    );
    void this.handler.handle(caller);
    await this.flushPromises();
    return caller;
  }

  /** Lets pending promises settle. */
  async flushPromises(): Promise<void> {
    for (let turn = 0; turn < 30; turn++) {
      await Promise.resolve();
    }
  }

  /** Advances the clock and lets pending promises settle. */
  async advance(milliseconds: number): Promise<void> {
    await this.clock.advanceAsync(milliseconds);
    await this.flushPromises();
  }
}
