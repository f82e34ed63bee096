import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {LayerRange, Upstream} from '../../fleet/common/upstream.js';
import {
  UpstreamCallError,
  UpstreamControl,
} from '../../fleet/common/upstreamControl.js';
import {UpstreamDirectory} from '../../fleet/common/upstreamDirectory.js';
import {TableLease} from '../../placement/common/tableLease.js';
import {LayeredService, loadMillisecondsOf} from './layeredService.js';
import {LayerAssignment} from './planLayers.js';

/** Timeout of an order; healthy upstreams answer within a few milliseconds. */
const ORDER_TIMEOUT_MILLISECONDS = 300;

/**
 * An order counts as lost if its layers are not reported within the load time multiplied by this factor, plus
 * the report delay. Concurrent loads take longer, and an order may be executed late.
 */
const LOAD_TIME_FACTOR = 3;
const REPORT_DELAY_MILLISECONDS = 4_000;

/** An order whose layers are not reported yet. */
interface PendingOrder {
  readonly range: LayerRange;
  readonly expiresAt: number;
}

/** Orders upstreams to load layers under the lease, and remembers which orders are pending. */
export class LayerOrders {
  private readonly pendingOrders = new Map<string, PendingOrder>();
  private readonly orderCounts = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly lease: TableLease,
    private readonly control: UpstreamControl,
    private readonly directory: UpstreamDirectory,
  ) {}

  /** Ranges that were ordered but not yet reported, by upstream. */
  get orderedRanges(): ReadonlyMap<string, LayerRange> {
    return new Map([...this.pendingOrders].map(([id, {range}]) => [id, range]));
  }

  /** Forgets all orders: another instance may have given others. */
  clear(): void {
    this.pendingOrders.clear();
    this.orderCounts.clear();
  }

  /** Orders an upstream to load its layers, if the lease permits it and the upstream can be asked. */
  async order(
    {upstream, range, reason}: LayerAssignment,
    service: LayeredService,
    token: CancellationToken,
  ): Promise<void> {
    const {fencing} = this.lease;
    const expectedOrders = await this.orderCountOf(upstream);
    if (
      fencing === undefined ||
      expectedOrders === undefined ||
      !this.lease.permits(ORDER_TIMEOUT_MILLISECONDS)
    ) {
      return;
    }
    this.pendingOrders.set(upstream.id, {
      range,
      expiresAt:
        this.clock.monotonicMilliseconds() +
        orderLifetimeMilliseconds(service, range),
    });
    // A move does not wait for running streams: they end within seconds, but until then the data centre lacks the
    // layers. Aborted streams continue elsewhere, as after a loss.
    const result = await this.control.place(
      upstream,
      {range, fencing, expectedOrders, abortsRequests: reason !== 'empty'},
      ORDER_TIMEOUT_MILLISECONDS,
    );
    this.logger.decision('layersOrdered', {
      upstream: upstream.id,
      kind: upstream.acceleratorKind,
      from: range.from,
      to: range.to,
      reason,
      fencing,
      expectedOrders,
      listAge: Math.round(this.directory.age),
      outcome: result.ok ? 'accepted' : result.error.kind,
    });
    if (result.ok) {
      const begun = result.value.hasBegun ? 1 : 0;
      this.orderCounts.set(upstream.id, expectedOrders + begun);
    } else {
      await this.onOrderError(upstream.id, result.error, fencing, token);
    }
  }

  /** Removes orders that were fulfilled, expired or lost their upstream. */
  removeFinished(): void {
    const now = this.clock.monotonicMilliseconds();
    for (const [id, {range, expiresAt}] of this.pendingOrders) {
      const upstream = this.directory.find(id);
      const {layers} = upstream ?? {};
      const isHeld = layers?.from === range.from && layers.to === range.to;
      if (upstream === undefined || isHeld || now > expiresAt) {
        this.pendingOrders.delete(id);
        if (!isHeld) {
          this.orderCounts.delete(id);
        }
      }
    }
  }

  private async onOrderError(
    id: string,
    error: UpstreamCallError,
    fencing: number,
    token: CancellationToken,
  ): Promise<void> {
    this.orderCounts.delete(id);
    if (error.kind === 'superseded') {
      await this.lease.supersededBy(fencing, token);
    }
    // An unanswered order may still be executed, so the order count is read again before the next order.
    if (error.kind !== 'noAnswer') {
      this.pendingOrders.delete(id);
    }
  }

  /** Number of orders that an upstream has accepted, from its report if unknown; undefined if busy or unreachable. */
  private async orderCountOf(upstream: Upstream): Promise<number | undefined> {
    const known = this.orderCounts.get(upstream.id);
    if (known !== undefined) {
      return known;
    }
    const report = await this.control.report(
      upstream,
      ORDER_TIMEOUT_MILLISECONDS,
    );
    if (!report.ok || report.value.isBusy) {
      return undefined;
    }
    this.orderCounts.set(upstream.id, report.value.orderCount);
    return report.value.orderCount;
  }
}

function orderLifetimeMilliseconds(
  service: LayeredService,
  range: LayerRange,
): number {
  const loadMilliseconds = loadMillisecondsOf(service, range);
  return loadMilliseconds * LOAD_TIME_FACTOR + REPORT_DELAY_MILLISECONDS;
}
