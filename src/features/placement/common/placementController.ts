import {
  CancellationToken,
  neverCancelled,
} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {EngineConnector} from '../../../infrastructure/engine/common/engineConnection.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {TableService} from '../../../infrastructure/table/common/tableService.js';
import {WeightStore} from '../../../infrastructure/weights/common/weightStore.js';
import {RepeatingTask} from '../../membership/common/repeatingTask.js';
import {SystemView} from '../../membership/common/systemView.js';
import {ORDER_MILLISECONDS, OrderSender, SendOutcome} from './orderSender.js';
import {PlacementLog} from './placementLog.js';
import {PlacementChange} from './placementPlan.js';
import {PlacementSurvey} from './placementSurvey.js';
import {defaultLeaseSettings} from './leaseSettings.js';
import {TableLease} from './tableLease.js';

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
/** A replica is left alone for so long after an order failed, or was refused. */
const FAILED_MILLISECONDS = 10_000;
const REFUSED_MILLISECONDS = 60_000;

/** Holds the lease of one data centre's placement if it can, and carries the decisions out. */
export class PlacementController extends DisposableOwner {
  private readonly lease: TableLease;
  private readonly survey: PlacementSurvey;
  private readonly sender: OrderSender;
  private readonly log: PlacementLog;
  private readonly tasks: readonly RepeatingTask[];
  private leaseCalls: Promise<void> = Promise.resolve();
  private isStopped = false;

  constructor(private readonly parts: PlacementParts) {
    super();
    const {dataCentre, incarnation, clock, connector} = parts;
    const {logger, metrics, table, weights, nonce} = parts;
    const key = `${LEASE_KEY_PREFIX}${dataCentre}`;
    this.lease = this.register(
      new TableLease(key, incarnation, table, clock, nonce),
    );
    this.survey = new PlacementSurvey(dataCentre, connector, weights, clock);
    const {watch} = this.survey;
    this.sender = new OrderSender(this.lease, connector, watch, clock);
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
      this.leaseCalls = this.leaseCalls
        .then(() => this.lease.advance(token))
        .catch((error: unknown) => this.log.unreadableLease(error));
    }
    return this.leaseCalls;
  }

  private async round(token: CancellationToken): Promise<void> {
    if (this.lease.state === 'idle' || this.lease.state === 'lost') {
      this.survey.forget();
    }
    if (!this.mayAct()) {
      return;
    }
    const system = this.parts.view();
    await this.survey.refresh(system, token);
    if (!this.survey.isDue(system)) {
      return;
    }
    const plan = this.survey.decide(system);
    this.log.heldBack(plan.heldBack);
    for (const change of plan.changes) {
      if (await this.survey.isStillPlanned(change, system, token)) {
        await this.carryOut(change, token);
      }
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

  private async carryOut(
    change: PlacementChange,
    token: CancellationToken,
  ): Promise<void> {
    const {fencing} = this.lease;
    if (!this.mayAct()) {
      return;
    }
    if (change.kind !== 'restore') {
      this.survey.memory.intend(change.group, change.to);
    }
    const outcome = await this.sender.send(change.targets, token);
    this.log.change(change, outcome, fencing);
    this.barAfterFailure(change.group, outcome);
  }

  private barAfterFailure(group: string, outcome: SendOutcome): void {
    if (outcome.kind === 'failed') {
      const isRefused = outcome.error.kind === 'refused';
      const wait = isRefused ? REFUSED_MILLISECONDS : FAILED_MILLISECONDS;
      const now = this.parts.clock.monotonicMilliseconds();
      this.survey.memory.bar(group, now + wait);
    }
  }
}
