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
import {Logger} from '../../infrastructure/logging/common/logger.js';
import {BunyanLogger} from '../../infrastructure/logging/node/bunyanLogger.js';
import {
  Metrics,
  SilentMetrics,
} from '../../infrastructure/metrics/common/metrics.js';
import {StatsdMetrics} from '../../infrastructure/metrics/node/statsdMetrics.js';
import {parseAddress} from '../../infrastructure/rpc/node/rpc.js';
import {HttpServiceConnector} from '../../infrastructure/service/node/httpServiceConnector.js';
import {EntrySettings} from '../../infrastructure/settings/common/programSettings.js';
import {PolicyDependencies, PolicyComponents} from './policyComponents.js';
import {RedwingComponents} from './redwingComponents.js';
import {ViewLog} from './viewLog.js';

/** Composition root of the entry program. */

const MILLISECONDS_PER_SECOND = 1000;

/** Milliseconds that a graceful shutdown waits for outcomes to be recorded. */
const RECORDING_TIMEOUT_MILLISECONDS = 2000;

/** Milliseconds of a shutdown beyond the drain: last responses, kept connections, recording and announcement. */
const CLOSE_TIMEOUT_MILLISECONDS = 8000;

/** The entry program of one instance. */
export class EntryProgram extends DisposableOwner {
  private readonly dependencies: PolicyDependencies;
  private readonly components: PolicyComponents;
  private readonly gate: RequestGate;
  private readonly server: CallerServer;

  constructor(
    private readonly settings: EntrySettings,
    peerKey: string,
  ) {
    super();
    this.dependencies = this.createDependencies(peerKey);
    const {views, logger} = this.dependencies;
    const viewLog = new ViewLog(logger);
    this.register(views.onDidChange(view => viewLog.record(view)));
    this.components = this.register(createPolicyComponents(this.dependencies));
    this.gate = this.createGate();
    this.server = this.createServer();
  }

  get logger(): Logger {
    return this.dependencies.logger;
  }

  /** Limit of a stop, from the stop signal on. */
  get stopLimitMilliseconds(): number {
    return (
      this.settings.drainSeconds * MILLISECONDS_PER_SECOND +
      CLOSE_TIMEOUT_MILLISECONDS
    );
  }

  /** Starts to serve callers and peers; resolves once both are being served. */
  async start(): Promise<void> {
    const {views, logger, incarnation} = this.dependencies;
    views.start();
    await this.components.start();
    const {host, port} = parseAddress(this.settings.callerAddress);
    await this.server.listen(host, port);
    logger.info('entry program started', {
      incarnation,
      callerAddress: this.settings.callerAddress,
      policy: this.settings.policy,
    });
  }

  /** Shuts down gracefully: refuses new work immediately, completes requests in flight, then closes. */
  async stop(): Promise<void> {
    const {views, logger, incarnation} = this.dependencies;
    const announced = views.announce({incarnation, leaving: true});
    logger.info('entry program is shutting down', {requests: this.gate.count});
    const limit = this.settings.drainSeconds * MILLISECONDS_PER_SECOND;
    const givenUp = await this.server.drain(limit);
    if (givenUp > 0) {
      logger.warn(
        'requests in progress were aborted at the end of the drain period',
        {givenUp},
      );
    }
    await this.components.drain(RECORDING_TIMEOUT_MILLISECONDS);
    await announced;
    this.dispose();
    logger.info('entry program stopped', {givenUp});
  }

  private createDependencies(peerKey: string): PolicyDependencies {
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
    const {views, clock} = this.dependencies;
    const {instance, concurrentRequestLimit} = this.settings;
    return new RequestGate(views, clock, {...instance, concurrentRequestLimit});
  }

  private createServer(): CallerServer {
    const {settings, gate} = this;
    const {views, clock, logger, metrics} = this.dependencies;
    const {claims, driver, dispatcher} = this.components;
    const policy = {claims, driver, dispatcher};
    const shared = {settings, views, gate, clock, logger, metrics};
    return new CallerServer({...shared, ...policy});
  }
}

function createPolicyComponents(
  dependencies: PolicyDependencies,
): PolicyComponents {
  return dependencies.settings.policy === 'naive'
    ? createNaiveComponents(dependencies)
    : new RedwingComponents(dependencies);
}

function createNaiveComponents(
  dependencies: PolicyDependencies,
): PolicyComponents {
  const {views, engines, services, clock} = dependencies;
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
