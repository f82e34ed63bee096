import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {SlownessTracker} from '../../fleet/common/slownessTracker.js';
import {SuspicionTracker} from '../../fleet/common/suspicionTracker.js';
import {UpstreamControl} from '../../fleet/common/upstreamControl.js';
import {UpstreamDirectory} from '../../fleet/common/upstreamDirectory.js';
import {Mechanisms} from '../../mechanisms/common/mechanisms.js';
import {RepeatingTask} from '../../membership/common/repeatingTask.js';
import {TableLease} from '../../placement/common/tableLease.js';
import {ActiveConfiguration} from '../../traffic/common/activeConfiguration.js';
import {toLayeredServices} from './layeredService.js';
import {LayerOrders} from './layerOrders.js';
import {LayerPlanner} from './layerPlanner.js';

/** Interval between plans. */
const PLAN_PERIOD_MILLISECONDS = 200;

/** Interval between lease steps; the lease lasts four intervals. */
export const LEASE_PERIOD_MILLISECONDS = 600;

/** Assigns layers to upstreams and replaces lost upstreams, on the instance that holds the lease. */
export class LayerController extends DisposableOwner {
  private readonly task: RepeatingTask;
  private readonly leaseTask: RepeatingTask;
  private readonly planner: LayerPlanner;
  private readonly orders: LayerOrders;
  private isLeaving = false;
  private leaseStep: Promise<void> = Promise.resolve();

  constructor(
    clock: Clock,
    random: RandomSource,
    private readonly logger: Logger,
    private readonly lease: TableLease,
    control: UpstreamControl,
    private readonly configuration: ActiveConfiguration,
    directory: UpstreamDirectory,
    suspicions: SuspicionTracker,
    slowness: SlownessTracker,
    mechanisms: Mechanisms,
    /** Whether a peer recently announced that it holds the lease, so that the lease row need not be read. */
    private readonly isLeaseHeldByPeer: () => boolean,
  ) {
    super();
    this.planner = new LayerPlanner(
      clock,
      logger,
      directory,
      suspicions,
      slowness,
      mechanisms,
    );
    this.orders = new LayerOrders(clock, logger, lease, control, directory);
    this.register(lease);
    this.leaseTask = this.register(
      new RepeatingTask(
        clock,
        random,
        () => LEASE_PERIOD_MILLISECONDS,
        token => this.advanceLease(token),
      ),
    );
    this.task = this.register(
      new RepeatingTask(
        clock,
        random,
        () => PLAN_PERIOD_MILLISECONDS,
        token => this.planAll(token),
      ),
    );
    this.register(lease.onDidChange(state => this.onLeaseChange(state)));
  }

  /** Starts to compete for the lease. */
  start(): void {
    this.leaseTask.runNow();
    this.task.runNow();
  }

  /** Releases the lease and does not take it again: an instance that is stopping would soon abandon it. */
  async leave(token: CancellationToken): Promise<void> {
    this.isLeaving = true;
    await this.leaseStep;
    await this.lease.release(token);
  }

  private async advanceLease(token: CancellationToken): Promise<void> {
    const isElsewhere = this.lease.state === 'idle' && this.isLeaseHeldByPeer();
    if (!this.isLeaving && !isElsewhere) {
      this.leaseStep = this.lease.advance(token);
      await this.leaseStep;
    }
  }

  private onLeaseChange(state: string): void {
    this.logger.decision('layerLease', {state, fencing: this.lease.fencing});
    this.orders.clear();
    this.task.runNow();
  }

  private async planAll(token: CancellationToken): Promise<void> {
    const {table} = this.configuration;
    if (this.lease.fencing === undefined || table === undefined) {
      return;
    }
    this.planner.removeUnlisted();
    this.orders.removeFinished();
    const {orderedRanges} = this.orders;
    const services = table.configuration.services.flatMap(toLayeredServices);
    const planned = this.planner.findSettled(services).map(service => ({
      service,
      assignments: this.planner.plan(service, orderedRanges),
    }));
    await Promise.all(
      planned.flatMap(({service, assignments}) =>
        assignments.map(assignment =>
          this.orders.order(assignment, service, token),
        ),
      ),
    );
  }
}
