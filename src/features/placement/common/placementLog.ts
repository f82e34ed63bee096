import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {SendOutcome} from './orderSender.js';
import {HeldBack, PlacementChange} from './placementPlan.js';
import {LeaseState} from './leaseChart.js';

/** Writes one line for each placement decision. */
export class PlacementLog {
  private lastHeldBack = '';

  constructor(
    private readonly dataCentre: string,
    private readonly logger: Logger,
    private readonly metrics: Metrics,
  ) {}

  /** The lease was taken or lost. */
  lease(state: LeaseState, fencing: number | undefined): void {
    const {dataCentre} = this;
    this.logger.decision('placementLease', {dataCentre, state, fencing});
    this.metrics.count('placement.lease', 1, {state});
  }

  /** The row of the lease is not one that placement wrote: nothing is done until it is removed. */
  unreadableLease(error: unknown): void {
    const {dataCentre} = this;
    const detail = String(error);
    this.logger.error('placement lease unreadable', {dataCentre, detail});
  }

  /** Orders of one change were sent, wholly or in part. */
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

  /** Changes that are wanted and wait; written when what waits changes. */
  heldBack(heldBack: readonly HeldBack[]): void {
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
