import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {
  EngineConnector,
  EngineError,
} from '../../../infrastructure/engine/common/engineConnection.js';
import {withDeadline} from '../../configuration/common/callDeadline.js';
import {EngineWatch} from './engineWatch.js';
import {EngineTarget} from './placementPlan.js';
import {TableLease} from './tableLease.js';

/** Time limit of one order. An order is sent only if the lease lasts longer than this. */
export const ORDER_TIMEOUT_MILLISECONDS = 3_000;

/** The engine and the number of a sent order. */
export interface SentOrder {
  readonly upstream: string;
  readonly order: number;
}

/** Outcome of sending the orders of one change. */
export type SendOutcome =
  | {readonly kind: 'sent'; readonly orders: readonly SentOrder[]}
  | {
      readonly kind: 'failed';
      readonly orders: readonly SentOrder[];
      readonly upstream: string;
      readonly error: EngineError;
    }
  /** The lease would expire during the next order, so the rest wasn't sent. */
  | {readonly kind: 'leaseEnds'; readonly orders: readonly SentOrder[]};

/** Sends orders under a lease and checks the lease immediately before each order. */
export class OrderSender {
  private lastOrder = 0;

  constructor(
    private readonly lease: TableLease,
    private readonly connector: EngineConnector,
    private readonly watch: EngineWatch,
    private readonly clock: Clock,
  ) {}

  /** Sends the desired states in order and stops at the first failure. */
  async send(
    targets: readonly EngineTarget[],
    token: CancellationToken,
  ): Promise<SendOutcome> {
    const orders: SentOrder[] = [];
    for (const {member, desired} of targets) {
      const connection = this.connector.connect(member.id, member.address);
      const {fencing} = this.lease;
      if (
        fencing === undefined ||
        !this.lease.permits(ORDER_TIMEOUT_MILLISECONDS)
      ) {
        return {kind: 'leaseEnds', orders};
      }
      this.lastOrder += 1;
      const order = this.lastOrder;
      orders.push({upstream: member.id, order});
      const result = await withDeadline(
        this.clock,
        token,
        ORDER_TIMEOUT_MILLISECONDS,
        call => connection.order({...desired, fencing, order}, call),
      );
      this.watch.recordOrder(member.id);
      if (!result.ok) {
        await this.handleStaleFencing(result.error, token);
        const {error} = result;
        return {kind: 'failed', orders, upstream: member.id, error};
      }
    }
    return {kind: 'sent', orders};
  }

  private async handleStaleFencing(
    error: EngineError,
    token: CancellationToken,
  ): Promise<void> {
    if (error.kind === 'stale') {
      await this.lease.supersededBy(error.highest, token);
    }
  }
}
