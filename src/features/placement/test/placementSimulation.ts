import {
  CancellationToken,
  neverCancelled,
} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {SeededRandomSource} from '../../../base/common/randomSource.js';
import {failure, Result, success} from '../../../base/common/result.js';
import {
  EngineConnection,
  EngineConnector,
  EngineError,
  EngineOrder,
  EngineReport,
} from '../../../infrastructure/engine/common/engineConnection.js';
import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';
import {SilentMetrics} from '../../../infrastructure/metrics/common/metrics.js';
import {
  FakeClock,
  runPendingCallbacks,
} from '../../../../test/support/fakeClock.js';
import {InMemoryPlatform} from '../../../../test/support/inMemoryPlatform.js';
import {Configuration} from '../../configuration/common/configuration.js';
import {PlacementController} from '../common/placementController.js';

/** Simulates controllers of one data centre and engines that record their orders. Each process can be paused. */

export const LAYERS = 4;
const LOAD_MILLISECONDS = 2_000;
const SEQUENCE_LIMIT = 8;

/** Clock of one process. While the process is paused, its timers and responses are deferred. */
class ProcessClock extends Clock {
  private deferredCallbacks: Array<() => void> | undefined;

  constructor(private readonly clock: Clock) {
    super();
  }

  override monotonicMilliseconds(): number {
    return this.clock.monotonicMilliseconds();
  }

  override wallMilliseconds(): number {
    return this.clock.wallMilliseconds();
  }

  override suspendedMilliseconds(): number {
    return this.clock.suspendedMilliseconds();
  }

  override setTimer(milliseconds: number, callback: () => void): Disposable {
    return this.clock.setTimer(milliseconds, () =>
      this.runWhenResumed(callback),
    );
  }

  override setResponseTimer(
    milliseconds: number,
    callback: () => void,
  ): Disposable {
    return this.setTimer(milliseconds, callback);
  }

  pause(): void {
    this.deferredCallbacks ??= [];
  }

  /** Runs the deferred callbacks in order, each with all that follows from it before the next. */
  async resume(): Promise<void> {
    const {deferredCallbacks = []} = this;
    this.deferredCallbacks = undefined;
    for (const callback of deferredCallbacks) {
      callback();
      await runPendingCallbacks();
    }
  }

  runWhenResumed(callback: () => void): void {
    if (this.deferredCallbacks === undefined) {
      callback();
    } else {
      this.deferredCallbacks.push(callback);
    }
  }

  untilResumed(): Promise<void> {
    return new Promise(resolve => this.runWhenResumed(resolve));
  }
}

const orderClass = {
  name: 'order',
  firstTokenMilliseconds: 500,
  betweenTokensMilliseconds: 50,
  deadlineMilliseconds: 8_000,
  requestsPerSecond: 1,
  repeatable: false,
};

/** An order that an engine accepted. */
export interface AcceptedOrder extends EngineOrder {
  readonly upstream: string;
  readonly at: number;
}

/** A fake engine that accepts orders and makes reports but runs no steps. */
class FakeEngine {
  readonly member: UpstreamMember;
  readonly acceptedOrders: AcceptedOrder[] = [];
  occupied = 0;
  private readonly layers;
  private loadedAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    group: string,
    stage: number,
    private readonly checksFencing: boolean,
  ) {
    const id = `${group}-${stage}`;
    this.layers = {from: 2 * stage, to: 2 * stage + 2};
    const place = {dataCentre: 'd', region: 'r', address: id};
    this.member = {role: 'engine', id, group, state: 'live', ...place};
  }

  get heldState(): Pick<EngineOrder, 'model' | 'version' | 'layers' | 'role'> {
    const first = {model: 'm', version: '1', layers: this.layers};
    return this.acceptedOrders.at(-1) ?? {...first, role: 'both'};
  }

  get isServing(): boolean {
    return this.heldState.role === 'both' && !this.isLoading;
  }

  order(order: EngineOrder): Result<void, EngineError> {
    const highest = this.acceptedOrders.at(-1);
    const isOld =
      highest !== undefined &&
      (order.fencing < highest.fencing ||
        (order.fencing === highest.fencing && order.order < highest.order));
    if (this.checksFencing && isOld) {
      return failure({kind: 'stale', highest: highest.fencing});
    }
    const now = this.clock.monotonicMilliseconds();
    const {model, version} = this.heldState;
    if (order.model !== model || order.version !== version) {
      this.loadedAt = now + LOAD_MILLISECONDS;
    }
    this.acceptedOrders.push({...order, upstream: this.member.id, at: now});
    return success(undefined);
  }

  report(): EngineReport {
    const {model, version, layers, role} = this.heldState;
    return {
      upstream: this.member.id,
      engineIncarnation: 'i',
      acceleratorKind: 'standard',
      adapters: [],
      checksFencing: this.checksFencing,
      sequenceLimit: SEQUENCE_LIMIT,
      residentSequences: role === 'both' ? this.occupied : 0,
      queuedSequences: 0,
      decodeMilliseconds: 5,
      prefillMillisecondsPerToken: 0.2,
      cachedPrefixes: [],
      ageMilliseconds: 0,
      leaving: false,
      appliedOrder: this.acceptedOrders.at(-1)?.order ?? 0,
      loading: this.isLoading,
      model,
      version,
      layers,
      role,
    };
  }

  private get isLoading(): boolean {
    return this.clock.monotonicMilliseconds() < this.loadedAt;
  }
}

/** Fault of the next order of a process. */
export type OrderFault = 'answerLost' | 'requestLost' | 'pauseAfter';

class FakeConnection {
  constructor(
    private readonly engine: FakeEngine,
    private readonly process: PlacementProcess,
  ) {}

  async report(): Promise<Result<EngineReport, EngineError>> {
    const report = this.engine.report();
    await this.process.clock.untilResumed();
    return success(report);
  }

  async order(
    order: EngineOrder,
    token: CancellationToken,
  ): Promise<Result<void, EngineError>> {
    const fault = this.process.orderFaults.shift();
    if (fault === 'requestLost' || token.isCancelled) {
      return failure({kind: 'lost', detail: 'request lost'});
    }
    const result = this.engine.order(order);
    if (fault === 'pauseAfter') {
      this.process.clock.pause();
    }
    await this.process.clock.untilResumed();
    return fault === 'answerLost'
      ? failure({kind: 'lost', detail: 'answer lost'})
      : result;
  }
}

/** The placement controller of one control process. */
class PlacementProcess {
  readonly clock: ProcessClock;
  readonly orderFaults: OrderFault[] = [];
  readonly controller: PlacementController;

  constructor(
    simulation: PlacementSimulation,
    readonly name: string,
  ) {
    this.clock = new ProcessClock(simulation.clock);
    const ports = simulation.platform.servicesFor(name);
    let nonces = 0;
    this.controller = new PlacementController({
      dataCentre: 'd',
      incarnation: name,
      view: () => simulation.view,
      table: ports.table,
      weights: ports.weights,
      connector: this.connectorTo(simulation.engines),
      clock: this.clock,
      random: new SeededRandomSource(name.length),
      nonce: () => `${name}-${nonces++}`,
      logger: new SilentLogger(),
      metrics: new SilentMetrics(),
    });
  }

  private connectorTo(engines: readonly FakeEngine[]): EngineConnector {
    const connect = (upstream: string): EngineConnection => {
      const engine = engines.find(
        candidate => candidate.member.id === upstream,
      )!;
      // Placement uses these two calls only.
      return new FakeConnection(engine, this) as unknown as EngineConnection;
    };
    return {connect};
  }
}

/** Three replicas of two engines each; every second replica doesn't check fencing numbers. */
export class PlacementSimulation {
  readonly clock = new FakeClock();
  readonly platform = new InMemoryPlatform(this.clock);
  readonly engines = [0, 1, 2].flatMap(replica =>
    [0, 1].map(
      stage =>
        new FakeEngine(this.clock, `r${replica}`, stage, replica % 2 === 0),
    ),
  );
  readonly processes = ['p', 'pp'].map(
    name => new PlacementProcess(this, name),
  );
  version = '1';
  /** Whether a second model, with one version, is configured. */
  hasSecondModel = false;
  /** Fewest replicas that served after any step. */
  fewestServing = Infinity;

  constructor() {
    for (const version of ['1', '2', '3']) {
      const size = {layerBytes: 1e6, bytesPerSecond: 1e8};
      const manifest = {version, layerCount: LAYERS, ...size};
      this.platform.manifests.push(
        {model: 'm', ...manifest},
        {model: 'n', ...manifest},
      );
    }
  }

  private readonly upstreams = this.engines.map(engine => engine.member);

  get view() {
    const {version} = this;
    const size = {layerCount: LAYERS, adapters: []};
    const models = {
      m: {name: 'm', version, ...size},
      ...(this.hasSecondModel ? {n: {name: 'n', version: '1', ...size}} : {}),
    };
    const configuration: Configuration = {
      revision: Number(version),
      classes: {order: orderClass},
      clientAccounts: {},
      models,
      services: {},
    };
    const {upstreams} = this;
    const standing = {kind: 'serving'} as const;
    return {sequence: 1, standing, configuration, instances: [], upstreams};
  }

  get isRolledOut(): boolean {
    return this.engines.every(
      engine => engine.isServing && engine.heldState.version === this.version,
    );
  }

  /** All accepted orders, in order of time. */
  get allAcceptedOrders(): readonly AcceptedOrder[] {
    return this.engines
      .flatMap(engine => engine.acceptedOrders)
      .sort((left, right) => left.at - right.at);
  }

  start(): void {
    this.processes.forEach(({controller}) => controller.start());
  }

  async stop(): Promise<void> {
    for (const {controller, clock} of this.processes) {
      await clock.resume();
      await controller.stop();
    }
  }

  /** Advances time in steps and counts the serving replicas after each. */
  async advanceTime(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 500) {
      await this.clock.advanceAsync(500);
      const serving = [0, 1, 2].filter(replica =>
        this.engines
          .slice(2 * replica, 2 * replica + 2)
          .every(engine => engine.isServing),
      );
      this.fewestServing = Math.min(this.fewestServing, serving.length);
    }
  }

  async advanceUntilRolledOut(): Promise<void> {
    for (let round = 0; round < 300 && !this.isRolledOut; round++) {
      await this.advanceTime(1_000);
    }
  }

  /** The fencing number in the lease's row, 0 without a row. */
  async fencingInTable(): Promise<number> {
    const key = 'placement/lease/d';
    const rows = await this.platform
      .servicesFor('reader')
      .table.read([key], neverCancelled);
    const text = rows.ok ? rows.value[0]?.value : undefined;
    return text === undefined ? 0 : JSON.parse(text).fencing;
  }
}
