import {
  CancellationToken,
  neverCancelled,
} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {EngineConnector} from '../../../platform/engine/common/engineConnection.js';
import {Logger} from '../../../platform/logging/common/logger.js';
import {UpstreamMember} from '../../../platform/membership/common/membershipList.js';
import {Metrics} from '../../../platform/metrics/common/metrics.js';
import {TableService} from '../../../platform/table/common/tableService.js';
import {WeightStore} from '../../../platform/weights/common/weightStore.js';
import {RepeatingTask} from '../../membership/common/repeatingTask.js';
import {SystemView} from '../../membership/common/systemView.js';
import {DemandMeter} from './demandMeter.js';
import {EngineWatch} from './engineWatch.js';
import {replicasOf} from './dataCentreReplicas.js';
import {ManifestCache} from './manifestCache.js';
import {ORDER_MILLISECONDS, OrderSender, SendOutcome} from './orderSender.js';
import {PlacementChange, PlacementPlan} from './placementPlan.js';
import {planPlacement} from './planPlacement.js';
import {PlacementLog} from './placementLog.js';
import {PlacementView, ReplicaView} from './placementView.js';
import {ReplicaMemory} from './replicaMemory.js';
import {stateOf} from './replicaState.js';
import {defaultLeaseSettings, TableLease} from './tableLease.js';

/** What placement of one data centre works with. */
export interface PlacementParts {
  readonly dataCentre: string;
  /** Names this process in the lease. */
  readonly incarnation: string;
  readonly view: () => SystemView;
  readonly table: TableService;
  readonly weights: WeightStore;
  readonly connector: EngineConnector;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly nonce: () => string;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

const LEASE_KEY_PREFIX = 'placement/lease/';
const LEASE_STEPS = 4;
const ROUND_MILLISECONDS = 1_000;
/** Engines at rest asked in each round: about 0.75 KB/s, whatever the size of the data centre. */
const RESTING_POLLS = 1;
/** Engines of replicas that change, asked in each round at most. */
const CHANGING_POLLS = 16;
/** Reports that a change rests on may be this old. */
const FRESH_MILLISECONDS = 5_000;
const FAILED_MILLISECONDS = 10_000;
const REFUSED_MILLISECONDS = 60_000;

/** Holds the lease of one data centre's placement if it can, and carries the decisions out. */
export class PlacementController extends DisposableOwner {
  private readonly lease: TableLease;
  private readonly watch: EngineWatch;
  private readonly memory: ReplicaMemory;
  private readonly sender: OrderSender;
  private readonly manifests: ManifestCache;
  private readonly demand = new DemandMeter();
  private readonly log: PlacementLog;
  private readonly tasks: readonly RepeatingTask[];
  private leaseCalls: Promise<void> = Promise.resolve();
  private isStopped = false;

  constructor(private readonly parts: PlacementParts) {
    super();
    const {dataCentre, incarnation, clock, connector} = parts;
    const {logger, metrics, table, nonce} = parts;
    const key = `${LEASE_KEY_PREFIX}${dataCentre}`;
    this.lease = this.register(
      new TableLease(key, incarnation, table, clock, nonce),
    );
    this.watch = new EngineWatch(connector, clock);
    this.memory = new ReplicaMemory(this.watch);
    this.sender = new OrderSender(this.lease, connector, this.watch, clock);
    this.manifests = new ManifestCache(parts.weights, clock);
    this.log = new PlacementLog(dataCentre, logger, metrics);
    this.register(
      this.lease.onDidChange(state =>
        this.log.lease(state, this.lease.fencing),
      ),
    );
    const {durationMilliseconds} = defaultLeaseSettings;
    this.tasks = [
      this.task(durationMilliseconds / LEASE_STEPS, token =>
        this.advanceLease(token),
      ),
      this.task(ROUND_MILLISECONDS, token => this.round(token)),
    ];
  }

  /** Begins to compete for the lease. */
  start(): void {
    for (const task of this.tasks) {
      task.runNow();
    }
  }

  /** Sends nothing more and gives the lease up. */
  async stop(): Promise<void> {
    this.isStopped = true;
    this.dispose();
    await this.leaseCalls;
    await this.lease.release(neverCancelled);
  }

  private task(
    milliseconds: number,
    run: (token: CancellationToken) => Promise<void>,
  ): RepeatingTask {
    const {clock, random} = this.parts;
    return this.register(
      new RepeatingTask(clock, random, () => milliseconds, run),
    );
  }

  private advanceLease(token: CancellationToken): Promise<void> {
    const isServing = this.parts.view().standing.kind === 'serving';
    if (isServing && !this.isStopped) {
      this.leaseCalls = this.leaseCalls.then(() => this.lease.advance(token));
    }
    return this.leaseCalls;
  }

  private async round(token: CancellationToken): Promise<void> {
    if (this.lease.state === 'idle' || this.lease.state === 'lost') {
      this.forget();
    }
    if (!this.mayAct()) {
      return;
    }
    const system = this.parts.view();
    const groups = replicasOf(system.upstreams, this.parts.dataCentre);
    this.watch.follow([...groups.values()].flat());
    await this.manifests.refresh(
      Object.values(system.configuration.models),
      token,
    );
    await this.watch.poll(this.pollsOf(groups, system), token);
    if (this.watch.isComplete) {
      await this.decide(groups, system, token);
    }
  }

  /** Whether the lease is held for certain, the configuration confirmed, and this process stays. */
  private mayAct(): boolean {
    return (
      !this.isStopped &&
      this.lease.permits(ORDER_MILLISECONDS) &&
      this.parts.view().standing.kind === 'serving'
    );
  }

  private forget(): void {
    this.watch.follow([]);
    this.memory.reset();
    this.demand.reset();
  }

  private pollsOf(
    groups: ReadonlyMap<string, readonly UpstreamMember[]>,
    system: SystemView,
  ): readonly string[] {
    const {models} = system.configuration;
    const changing = this.replicas(groups, system)
      .filter(view => isMoving(stateOf(view, models).kind))
      .flatMap(view => view.engines.map(({member}) => member.id));
    return [
      ...changing.slice(0, CHANGING_POLLS),
      ...this.watch.oldest(RESTING_POLLS),
    ];
  }

  private async decide(
    groups: ReadonlyMap<string, readonly UpstreamMember[]>,
    system: SystemView,
    token: CancellationToken,
  ): Promise<void> {
    this.observe(groups, system);
    const plan = this.plan(groups, system);
    this.log.heldBack(plan.heldBack);
    for (const change of plan.changes) {
      if (await this.isStillPlanned(change, groups, system, token)) {
        await this.carryOut(change, token);
      }
    }
  }

  private observe(
    groups: ReadonlyMap<string, readonly UpstreamMember[]>,
    system: SystemView,
  ): void {
    const {models} = system.configuration;
    const states = this.replicas(groups, system).map(view =>
      stateOf(view, models),
    );
    this.demand.observe(states, this.now());
  }

  private plan(
    groups: ReadonlyMap<string, readonly UpstreamMember[]>,
    system: SystemView,
  ): PlacementPlan {
    const {models, classes} = system.configuration;
    const replicas = this.replicas(groups, system);
    const view: PlacementView = {
      dataCentre: this.parts.dataCentre,
      share: shareOf(replicas, system.upstreams),
      models,
      classes,
      replicas,
    };
    const now = this.now();
    const {manifests} = this.manifests;
    return planPlacement(view, this.demand.demand(now), manifests, now);
  }

  /** Renews reports that are old, and decides again on them. */
  private async isStillPlanned(
    change: PlacementChange,
    groups: ReadonlyMap<string, readonly UpstreamMember[]>,
    system: SystemView,
    token: CancellationToken,
  ): Promise<boolean> {
    const ids = (groups.get(change.group) ?? []).map(({id}) => id);
    if (this.watch.wereAskedSince(ids, this.now() - FRESH_MILLISECONDS)) {
      return true;
    }
    await this.watch.poll(ids, token);
    return this.plan(groups, system).changes.some(
      ({group, kind, to}) =>
        group === change.group &&
        kind === change.kind &&
        to.model === change.to.model &&
        to.version === change.to.version,
    );
  }

  private async carryOut(
    change: PlacementChange,
    token: CancellationToken,
  ): Promise<void> {
    const {fencing} = this.lease;
    if (!this.mayAct()) {
      return;
    }
    if (change.kind !== 'restore') {
      this.memory.intend(change.group, change.to);
    }
    const outcome = await this.sender.send(change.targets, token);
    this.log.change(change, outcome, fencing);
    this.barAfterFailure(change.group, outcome);
  }

  private barAfterFailure(group: string, outcome: SendOutcome): void {
    if (outcome.kind === 'failed') {
      const isRefused = outcome.error.kind === 'refused';
      const wait = isRefused ? REFUSED_MILLISECONDS : FAILED_MILLISECONDS;
      this.memory.bar(group, this.now() + wait);
    }
  }

  private replicas(
    groups: ReadonlyMap<string, readonly UpstreamMember[]>,
    system: SystemView,
  ): readonly ReplicaView[] {
    const {models} = system.configuration;
    return this.memory.views(groups, models, this.now());
  }

  private now(): number {
    return this.parts.clock.monotonicMilliseconds();
  }
}

function isMoving(kind: string): boolean {
  return kind === 'draining' || kind === 'loading' || kind === 'incomplete';
}

/** Share of all listed engines that belong to these replicas. */
function shareOf(
  replicas: readonly ReplicaView[],
  upstreams: readonly UpstreamMember[],
): number {
  const own = replicas.reduce((sum, one) => sum + one.engines.length, 0);
  const all = upstreams.filter(({role}) => role === 'engine').length;
  return all === 0 ? 0 : own / all;
}
