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
import {FakeClock, settle} from '../../../../test/support/fakeClock.js';
import {InMemoryPlatform} from '../../../../test/support/inMemoryPlatform.js';
import {Configuration} from '../../configuration/common/configuration.js';
import {PlacementController} from '../common/placementController.js';

/** Controllers of one data centre over engines that keep a ledger of orders; any process may pause. */

export const LAYERS = 4;
const LOAD_MILLISECONDS = 2_000;
const SEQUENCE_LIMIT = 8;

/** The clock of one process: while it is paused, its timers and answers wait. */
class ProcessClock extends Clock {
  private waiting: Array<() => void> | undefined;

  constructor(private readonly clock: Clock) {
    super();
  }

  override monotonicMilliseconds(): number {
    return this.clock.monotonicMilliseconds();
  }

  override wallMilliseconds(): number {
    return this.clock.wallMilliseconds();
  }

  override setTimer(milliseconds: number, callback: () => void): Disposable {
    return this.clock.setTimer(milliseconds, () => this.whenAwake(callback));
  }

  pause(): void {
    this.waiting ??= [];
  }

  /** What waits comes in its order, with all that follows from each before the next. */
  async resume(): Promise<void> {
    const {waiting = []} = this;
    this.waiting = undefined;
    for (const callback of waiting) {
      callback();
      await settle();
    }
  }

  whenAwake(callback: () => void): void {
    if (this.waiting === undefined) {
      callback();
    } else {
      this.waiting.push(callback);
    }
  }

  awake(): Promise<void> {
    return new Promise(resolve => this.whenAwake(resolve));
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

/** What an engine took; the witness. */
export interface TakenOrder extends EngineOrder {
  readonly upstream: string;
  readonly at: number;
}

/** An engine that takes orders and reports; it runs no steps. */
class FakeEngine {
  readonly member: UpstreamMember;
  readonly taken: TakenOrder[] = [];
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

  get holding(): Pick<EngineOrder, 'model' | 'version' | 'layers' | 'role'> {
    const first = {model: 'm', version: '1', layers: this.layers};
    return this.taken.at(-1) ?? {...first, role: 'both'};
  }

  get isServing(): boolean {
    return this.holding.role === 'both' && !this.isLoading;
  }

  order(order: EngineOrder): Result<void, EngineError> {
    const highest = this.taken.at(-1);
    const isOld =
      highest !== undefined &&
      (order.fencing < highest.fencing ||
        (order.fencing === highest.fencing && order.order < highest.order));
    if (this.checksFencing && isOld) {
      return failure({kind: 'stale', highest: highest.fencing});
    }
    const now = this.clock.monotonicMilliseconds();
    const {model, version} = this.holding;
    if (order.model !== model || order.version !== version) {
      this.loadedAt = now + LOAD_MILLISECONDS;
    }
    this.taken.push({...order, upstream: this.member.id, at: now});
    return success(undefined);
  }

  report(): EngineReport {
    const {model, version, layers, role} = this.holding;
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
      appliedOrder: this.taken.at(-1)?.order ?? 0,
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

/** What strikes the next order of a process. */
export type OrderFault = 'answerLost' | 'requestLost' | 'pauseAfter';

class FakeConnection {
  constructor(
    private readonly engine: FakeEngine,
    private readonly process: PlacementProcess,
  ) {}

  async report(): Promise<Result<EngineReport, EngineError>> {
    const report = this.engine.report();
    await this.process.clock.awake();
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
    await this.process.clock.awake();
    return fault === 'answerLost'
      ? failure({kind: 'lost', detail: 'answer lost'})
      : result;
  }
}

/** One control program's placement. */
class PlacementProcess {
  readonly clock: ProcessClock;
  readonly orderFaults: OrderFault[] = [];
  readonly controller: PlacementController;

  constructor(
    world: PlacementWorld,
    readonly name: string,
  ) {
    this.clock = new ProcessClock(world.clock);
    const ports = world.platform.portsOf(name);
    let nonces = 0;
    this.controller = new PlacementController({
      dataCentre: 'd',
      incarnation: name,
      view: () => world.view,
      table: ports.table,
      weights: ports.weights,
      connector: this.connectorTo(world.engines),
      clock: this.clock,
      random: new SeededRandomSource(name.length),
      nonce: () => `${name}-${nonces++}`,
      logger: new SilentLogger(),
      metrics: new SilentMetrics(),
    });
  }

  private connectorTo(engines: readonly FakeEngine[]): EngineConnector {
    const connect = (upstream: string): EngineConnection => {
      const engine = engines.find(one => one.member.id === upstream)!;
      // Placement makes these two calls only.
      return new FakeConnection(engine, this) as unknown as EngineConnection;
    };
    return {connect};
  }
}

/** Three replicas of two engines, every second replica without regard for fencing numbers. */
export class PlacementWorld {
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
  /** A second model with one version. */
  hasOther = false;
  /** Replicas that serve, each time one was counted. */
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
      ...(this.hasOther ? {n: {name: 'n', version: '1', ...size}} : {}),
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
      engine => engine.isServing && engine.holding.version === this.version,
    );
  }

  /** All orders taken, in order of time. */
  get taken(): readonly TakenOrder[] {
    return this.engines
      .flatMap(engine => engine.taken)
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

  /** Lets time pass in steps, counting the replicas that serve after each. */
  async pass(milliseconds: number): Promise<void> {
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

  async passUntilRolledOut(): Promise<void> {
    for (let round = 0; round < 300 && !this.isRolledOut; round++) {
      await this.pass(1_000);
    }
  }

  /** The number that the table holds. */
  async fencingInTable(): Promise<number> {
    const key = 'placement/lease/d';
    const rows = await this.platform
      .portsOf('reader')
      .table.read([key], neverCancelled);
    const text = rows.ok ? rows.value[0]?.value : undefined;
    return text === undefined ? 0 : JSON.parse(text).fencing;
  }
}
