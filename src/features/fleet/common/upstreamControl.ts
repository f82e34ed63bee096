import {Result} from '../../../base/common/result.js';
import {Path} from '../../paths/common/path.js';
import {LayerRange, Upstream} from './upstream.js';

/** Calls about an upstream itself, as a port. */

/** A request that waits for an upstream which does not answer. */
export interface StalledRequest {
  readonly requestId: string;
  /** Address of the upstream that it waits for. */
  readonly address: string;
}

/** What an upstream reports; some hundred milliseconds old. */
export interface UpstreamReport {
  /** Orders that it has accepted since its start. */
  readonly orderCount: number;
  /** Whether an order is in progress. */
  readonly isBusy: boolean;
  /** Factor by which it is slower than its kind. */
  readonly slowness: number;
  readonly layers: LayerRange | undefined;
  readonly stalled: readonly StalledRequest[];
}

/** Why a call to an upstream had no effect, or may have had one. */
export type UpstreamCallError =
  | {readonly kind: 'noAnswer'; readonly detail: string}
  /** Another upstream has the address, or another run of the same one. */
  | {readonly kind: 'misdirected'}
  /** Someone with a higher fencing number has given orders. */
  | {readonly kind: 'superseded'}
  /** The order does not fit the upstream's state. */
  | {readonly kind: 'conflict'; readonly address: string | undefined}
  | {readonly kind: 'refused'; readonly status: number};

/** An order to hold layers. */
export interface PlaceOrder {
  readonly range: LayerRange;
  readonly fencing: number;
  /** Orders that the upstream must have accepted before this one, so that a late copy has no effect. */
  readonly expectedOrders: number;
  /** Whether requests on layers that are given up are cut off, instead of waited for. */
  readonly cutsOff: boolean;
}

/** Asks and orders upstreams. */
export abstract class UpstreamControl {
  abstract report(
    upstream: Upstream,
    milliseconds: number,
  ): Promise<Result<UpstreamReport, UpstreamCallError>>;

  /** Succeeds with whether loading has begun; false when the layers are held already. */
  abstract place(
    upstream: Upstream,
    order: PlaceOrder,
    milliseconds: number,
  ): Promise<Result<{readonly hasBegun: boolean}, UpstreamCallError>>;

  /** Moves a running request to another path that starts at the same upstream. */
  abstract repath(
    upstream: Upstream,
    requestId: string,
    path: Path,
    milliseconds: number,
  ): Promise<Result<void, UpstreamCallError>>;
}
