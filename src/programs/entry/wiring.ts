import {randomUUID} from 'node:crypto';

import {DisposableOwner} from '../../base/common/lifecycle.js';
import {SystemClock} from '../../base/node/systemClock.js';
import {RequestGate} from '../../features/callers/common/requestGate.js';
import {CallerServer} from '../../features/callers/node/callerServer.js';
import {ControlViewSource} from '../../features/membership/node/controlViewSource.js';
import {NaiveClaimService} from '../../features/naive/common/naiveClaimService.js';
import {NaiveBroker} from '../../features/naive/node/naiveBroker.js';
import {NaivePipelineDriver} from '../../features/naive/node/naivePipelineDriver.js';
import {NaiveServiceDispatcher} from '../../features/naive/node/naiveServiceDispatcher.js';
import {HttpEngineConnector} from '../../infrastructure/engine/node/httpEngineConnector.js';
import {BunyanLogger} from '../../infrastructure/logging/node/bunyanLogger.js';
import {
  Metrics,
  SilentMetrics,
} from '../../infrastructure/metrics/common/metrics.js';
import {StatsdMetrics} from '../../infrastructure/metrics/node/statsdMetrics.js';
import {parseAddress} from '../../infrastructure/rpc/node/rpc.js';
import {HttpServiceConnector} from '../../infrastructure/service/node/httpServiceConnector.js';
import {EntrySettings} from '../../infrastructure/settings/common/programSettings.js';
import {EntryBase, PolicyParts} from './entryParts.js';
import {RedwingParts} from './redwingParts.js';

/** Constructs all parts of the entry program. */

const MILLISECONDS_PER_SECOND = 1000;

/** Longest wait of a planned stop for outcomes to be recorded. */
const RECORD_MILLISECONDS = 2000;

/** The entry program of one instance. */
export class EntryProgram extends DisposableOwner {
  private readonly base: EntryBase;
  private readonly parts: PolicyParts;
  private readonly gate: RequestGate;
  private readonly server: CallerServer;

  constructor(
    private readonly settings: EntrySettings,
    peerKey: string,
  ) {
    super();
    this.base = this.createBase(peerKey);
    this.parts = this.register(createParts(this.base));
    this.gate = this.createGate();
    this.server = this.createServer();
  }

  /** Listens for callers and peers; resolves once both are served. */
  async start(): Promise<void> {
    const {views, logger, incarnation} = this.base;
    views.start();
    await this.parts.start();
    const {host, port} = parseAddress(this.settings.callerAddress);
    await this.server.listen(host, port);
    logger.info('entry program started', {
      incarnation,
      callerAddress: this.settings.callerAddress,
      policy: this.settings.policy,
    });
  }

  /** Leaves: refuses new work at once, finishes what is in flight, then closes. */
  async stop(): Promise<void> {
    const {views, logger, incarnation} = this.base;
    const announced = views.announce({incarnation, leaving: true});
    logger.info('entry program leaves', {requests: this.gate.count});
    const limit = this.settings.drainSeconds * MILLISECONDS_PER_SECOND;
    const givenUp = await this.server.drain(limit);
    if (givenUp > 0) {
      logger.warn('requests were given up at the end of the drain', {givenUp});
    }
    await this.parts.drain(RECORD_MILLISECONDS);
    await announced;
    this.dispose();
    logger.info('entry program stopped', {givenUp});
  }

  private createBase(peerKey: string): EntryBase {
    const {settings} = this;
    const {controlAddress, instance, observation} = settings;
    const clock = new SystemClock();
    const incarnation = randomUUID();
    const announcement = {incarnation, leaving: false};
    const logger = BunyanLogger.create('redwing-entry', observation.logLevel, {
      instance: instance.id,
    });
    const views = this.register(
      new ControlViewSource(controlAddress, peerKey, clock, announcement),
    );
    return {
      settings,
      peerKey,
      incarnation,
      clock,
      logger,
      metrics: this.createMetrics(),
      views,
      engines: this.register(new HttpEngineConnector()),
      services: this.register(new HttpServiceConnector()),
    };
  }

  private createMetrics(): Metrics {
    const {instance, observation} = this.settings;
    const {metricsAddress} = observation;
    return metricsAddress === undefined
      ? new SilentMetrics()
      : this.register(
          new StatsdMetrics(metricsAddress, {instance: instance.id}),
        );
  }

  private createGate(): RequestGate {
    const {views, clock} = this.base;
    const {instance, concurrentRequestLimit} = this.settings;
    return new RequestGate(views, clock, {...instance, concurrentRequestLimit});
  }

  private createServer(): CallerServer {
    const {settings, gate} = this;
    const {views, clock, logger, metrics} = this.base;
    const {claims, driver, dispatcher} = this.parts;
    const parts = {claims, driver, dispatcher};
    const shared = {settings, views, gate, clock, logger, metrics};
    return new CallerServer({...shared, ...parts});
  }
}

function createParts(base: EntryBase): PolicyParts {
  return base.settings.policy === 'naive'
    ? createNaiveParts(base)
    : new RedwingParts(base);
}

function createNaiveParts(base: EntryBase): PolicyParts {
  const {views, engines, services, clock} = base;
  const broker = new NaiveBroker(views, engines, clock);
  return {
    claims: new NaiveClaimService(),
    driver: new NaivePipelineDriver(broker, engines),
    dispatcher: new NaiveServiceDispatcher(broker, services),
    start: () => Promise.resolve(),
    drain: () => Promise.resolve(),
    dispose: () => undefined,
  };
}
