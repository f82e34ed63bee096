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
import {
  ORDER_TIMEOUT_MILLISECONDS,
  OrderSender,
  SendOutcome,
} from './orderSender.js';
import {PlacementLog} from './placementLog.js';
import {PlacementChange} from './placementPlan.js';
import {PlacementPlanner} from './placementPlanner.js';
import {defaultLeaseSettings} from './leaseSettings.js';
import {TableLease} from './tableLease.js';

/** Collaborators of the placement of one data centre. */
export interface PlacementOptions {
  readonly dataCentre: string;
  /** Identifies this process as the holder of the lease. */
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
const LEASE_STEPS_PER_DURATION = 4;
const ROUND_INTERVAL_MILLISECONDS = 1_000;
/** Time for which a replica isn't changed after an order failed, or was refused. */
const FAILED_BACKOFF_MILLISECONDS = 10_000;
const REFUSED_BACKOFF_MILLISECONDS = 60_000;

/** Competes for the placement lease of one data centre and, while it holds the lease, plans and sends orders. */
export class PlacementController extends DisposableOwner {
  private readonly lease: TableLease;
  private readonly planner: PlacementPlanner;
  private readonly orderSender: OrderSender;
  private readonly log: PlacementLog;
  private readonly tasks: readonly RepeatingTask[];
  private pendingLeaseCalls: Promise<void> = Promise.resolve();
  private isStopped = false;

  constructor(private readonly options: PlacementOptions) {
    super();
    const {dataCentre, incarnation, clock, connector} = options;
    const {logger, metrics, table, weights, nonce} = options;
    const key = `${LEASE_KEY_PREFIX}${dataCentre}`;
    this.lease = this.register(
      new TableLease(key, incarnation, table, clock, nonce),
    );
    this.planner = new PlacementPlanner(dataCentre, connector, weights, clock);
    const {watch} = this.planner;
    this.orderSender = new OrderSender(this.lease, connector, watch, clock);
    this.log = new PlacementLog(dataCentre, logger, metrics);
    this.register(
      this.lease.onDidChange(state =>
        this.log.logLease(state, this.lease.fencing),
      ),
    );
    const {durationMilliseconds} = defaultLeaseSettings;
    this.tasks = [
      this.createTask(durationMilliseconds / LEASE_STEPS_PER_DURATION, token =>
        this.advanceLease(token),
      ),
      this.createTask(ROUND_INTERVAL_MILLISECONDS, token =>
        this.runRound(token),
      ),
    ];
  }

  /** Starts competing for the lease. */
  start(): void {
    for (const task of this.tasks) {
      task.runNow();
    }
  }

  /** Stops sending orders and releases the lease. */
  async stop(): Promise<void> {
    this.isStopped = true;
    this.dispose();
    await this.pendingLeaseCalls;
    await this.lease.release(neverCancelled);
  }

  private createTask(
    milliseconds: number,
    run: (token: CancellationToken) => Promise<void>,
  ): RepeatingTask {
    const {clock, random} = this.options;
    return this.register(
      new RepeatingTask(clock, random, () => milliseconds, run),
    );
  }

  private advanceLease(token: CancellationToken): Promise<void> {
    const isServing = this.options.view().standing.kind === 'serving';
    if (isServing && !this.isStopped) {
      this.pendingLeaseCalls = this.pendingLeaseCalls
        .then(() => this.lease.advance(token))
        .catch((error: unknown) => this.log.logUnreadableLease(error));
    }
    return this.pendingLeaseCalls;
  }

  private async runRound(token: CancellationToken): Promise<void> {
    if (this.lease.state === 'idle' || this.lease.state === 'lost') {
      this.planner.forget();
    }
    if (!this.canSendOrders()) {
      return;
    }
    const system = this.options.view();
    await this.planner.refresh(system, token);
    if (!this.planner.isDecisionDue(system)) {
      return;
    }
    const plan = this.planner.decide(system);
    this.log.logHeldBack(plan.heldBack);
    for (const change of plan.changes) {
      if (await this.planner.isStillPlanned(change, system, token)) {
        await this.applyChange(change, token);
      }
    }
  }

  /** Whether the lease outlasts one order, the configuration is confirmed and this process isn't stopping. */
  private canSendOrders(): boolean {
    return (
      !this.isStopped &&
      this.lease.permits(ORDER_TIMEOUT_MILLISECONDS) &&
      this.options.view().standing.kind === 'serving'
    );
  }

  private async applyChange(
    change: PlacementChange,
    token: CancellationToken,
  ): Promise<void> {
    const {fencing} = this.lease;
    if (!this.canSendOrders()) {
      return;
    }
    if (change.kind !== 'restore') {
      this.planner.replicaHistory.setIntendedVersion(change.group, change.to);
    }
    const outcome = await this.orderSender.send(change.targets, token);
    this.log.change(change, outcome, fencing);
    this.backOffAfterFailure(change.group, outcome);
  }

  private backOffAfterFailure(group: string, outcome: SendOutcome): void {
    if (outcome.kind === 'failed') {
      const isRefused = outcome.error.kind === 'refused';
      const wait = isRefused
        ? REFUSED_BACKOFF_MILLISECONDS
        : FAILED_BACKOFF_MILLISECONDS;
      const now = this.options.clock.monotonicMilliseconds();
      this.planner.replicaHistory.setBackoff(group, now + wait);
    }
  }
}
