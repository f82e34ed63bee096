import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {SendOutcome} from './orderSender.js';
import {HeldBack, PlacementChange} from './placementPlan.js';
import {LeaseState} from './leaseChart.js';

/** Writes a log line and counts a metric for placement decisions. */
export class PlacementLog {
  private lastHeldBack = '';

  constructor(
    private readonly dataCentre: string,
    private readonly logger: Logger,
    private readonly metrics: Metrics,
  ) {}

  /** Logs that the lease was acquired or lost. */
  logLease(state: LeaseState, fencing: number | undefined): void {
    const {dataCentre} = this;
    this.logger.decision('placementLease', {dataCentre, state, fencing});
    this.metrics.count('placement.lease', 1, {state});
  }

  /** Logs that the lease's row can't be parsed. Placement makes no changes until the row is removed. */
  logUnreadableLease(error: unknown): void {
    const {dataCentre} = this;
    const detail = String(error);
    this.logger.error('placement lease row cannot be parsed', {
      dataCentre,
      detail,
    });
  }

  /** Logs the orders of one change, of which all or only some were sent. */
  change(
    change: PlacementChange,
    outcome: SendOutcome,
    fencing: number | undefined,
  ): void {
    const {kind, group, reason, from, to, gain, cost} = change;
    this.logger.decision('placement', {
      dataCentre: this.dataCentre,
      change: kind,
      replica: group,
      why: reason,
      from,
      to,
      gainSequenceSeconds: Math.round(gain),
      costSequenceSeconds: Math.round(cost),
      fencing,
      orders: outcome.orders,
      outcome: outcome.kind,
      error: outcome.kind === 'failed' ? outcome.error : undefined,
    });
    this.metrics.count('placement.change', 1, {kind, outcome: outcome.kind});
  }

  /** Logs the changes held back, if their counts by target and cause differ from the last call. */
  logHeldBack(heldBack: readonly HeldBack[]): void {
    const counts = new Map<string, number>();
    for (const {to, cause} of heldBack) {
      const name = `${to.model}/${to.version} ${cause}`;
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    const replicas = Object.fromEntries([...counts].sort());
    const text = JSON.stringify(replicas);
    if (text !== this.lastHeldBack && (counts.size > 0 || this.lastHeldBack)) {
      const {dataCentre} = this;
      this.logger.decision('placementHeldBack', {dataCentre, replicas});
    }
    this.lastHeldBack = text;
  }
}
