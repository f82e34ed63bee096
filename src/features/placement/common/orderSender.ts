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

/** Longest time of one order; the lease must last for longer when it is sent. */
export const ORDER_MILLISECONDS = 3_000;

/** An order as it was sent. */
export interface SentOrder {
  readonly upstream: string;
  readonly order: number;
}

/** How the orders of one change went. */
export type SendOutcome =
  | {readonly kind: 'sent'; readonly orders: readonly SentOrder[]}
  | {
      readonly kind: 'failed';
      readonly orders: readonly SentOrder[];
      readonly upstream: string;
      readonly error: EngineError;
    }
  /** The lease did not last for one more order: the rest was not sent. */
  | {readonly kind: 'leaseEnds'; readonly orders: readonly SentOrder[]};

/** Sends orders under a lease, which is checked right before each. */
export class OrderSender {
  private lastOrder = 0;

  constructor(
    private readonly lease: TableLease,
    private readonly connector: EngineConnector,
    private readonly watch: EngineWatch,
    private readonly clock: Clock,
  ) {}

  /** Sends one desired state after the other; stops at the first that fails. */
  async send(
    targets: readonly EngineTarget[],
    token: CancellationToken,
  ): Promise<SendOutcome> {
    const orders: SentOrder[] = [];
    for (const {member, desired} of targets) {
      const connection = this.connector.connect(member.id, member.address);
      const {fencing} = this.lease;
      if (fencing === undefined || !this.lease.permits(ORDER_MILLISECONDS)) {
        return {kind: 'leaseEnds', orders};
      }
      this.lastOrder += 1;
      const order = this.lastOrder;
      orders.push({upstream: member.id, order});
      const result = await withDeadline(
        this.clock,
        token,
        ORDER_MILLISECONDS,
        call => connection.order({...desired, fencing, order}, call),
      );
      this.watch.noteOrder(member.id);
      if (!result.ok) {
        await this.noteStale(result.error, token);
        const {error} = result;
        return {kind: 'failed', orders, upstream: member.id, error};
      }
    }
    return {kind: 'sent', orders};
  }

  private async noteStale(
    error: EngineError,
    token: CancellationToken,
  ): Promise<void> {
    if (error.kind === 'stale') {
      await this.lease.supersededBy(error.highest, token);
    }
  }
}
