import {Result} from '../../../base/common/result.js';
import {Path} from '../../paths/common/path.js';
import {LayerRange, Upstream} from './upstream.js';

/** Port for control calls to upstreams, as opposed to requests. */

/** A request that waits for an upstream that does not respond. */
export interface StalledRequest {
  readonly requestId: string;
  /** Address of the upstream that it waits for. */
  readonly address: string;
}

/** State reported by an upstream, a few hundred milliseconds old. */
export interface UpstreamReport {
  /** Number of orders that it has accepted since its start. */
  readonly orderCount: number;
  /** Whether it is executing an order. */
  readonly isBusy: boolean;
  /** Factor by which it is slower than its kind. */
  readonly slowness: number;
  /** Whether it says that it is shutting down. */
  readonly isLeaving: boolean;
  readonly layers: LayerRange | undefined;
  readonly stalled: readonly StalledRequest[];
}

/** Why a call to an upstream had no effect. With `noAnswer` it may have had one. */
export type UpstreamCallError =
  | {readonly kind: 'noAnswer'; readonly detail: string}
  /** The address now belongs to another upstream, or to another run of the same one. */
  | {readonly kind: 'misdirected'}
  /** The upstream has accepted an order with a higher fencing number. */
  | {readonly kind: 'superseded'}
  /** The order does not match the upstream's state. */
  | {readonly kind: 'conflict'; readonly address: string | undefined}
  | {readonly kind: 'refused'; readonly status: number};

/** An order to hold a range of layers. */
export interface PlaceOrder {
  readonly range: LayerRange;
  readonly fencing: number;
  /** Number of orders that the upstream must have accepted before, so that a delayed duplicate has no effect. */
  readonly expectedOrders: number;
  /** Whether running requests on released layers are aborted; otherwise the upstream waits for their end. */
  readonly abortsRequests: boolean;
}

/** Reads reports of upstreams and sends them orders. All time limits are in milliseconds. */
export abstract class UpstreamControl {
  abstract report(
    upstream: Upstream,
    milliseconds: number,
  ): Promise<Result<UpstreamReport, UpstreamCallError>>;

  /** Orders an upstream to hold layers. `hasBegun` is false if it holds them already. */
  abstract place(
    upstream: Upstream,
    order: PlaceOrder,
    milliseconds: number,
  ): Promise<Result<{readonly hasBegun: boolean}, UpstreamCallError>>;

  /** Moves a running request to another path with the same first upstream. */
  abstract repath(
    upstream: Upstream,
    requestId: string,
    path: Path,
    milliseconds: number,
  ): Promise<Result<void, UpstreamCallError>>;
}
