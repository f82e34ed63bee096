import {CancellationToken} from '../../../base/common/cancellation.js';
import {Result} from '../../../base/common/result.js';

/** A plain service behind the router, as a port. */

/** A call to pass on; the path is the part after the service's name. */
export interface ServiceRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: string;
}

/** The service's whole answer. */
export interface ServiceResponse {
  readonly status: number;
  readonly contentType: string | undefined;
  readonly body: string;
  /** The request that the service says it answered, if it says so. */
  readonly requestId: string | undefined;
}

/** Why a call to a plain service failed. */
export type ServiceError =
  /** No connection was made: surely not run. */
  | {readonly kind: 'unreachable'; readonly detail: string}
  /** Sent, then lost, cut off or timed out: may have run. */
  | {readonly kind: 'lost'; readonly detail: string}
  /** Refused before running (status 429 or 503 that says so). */
  | {readonly kind: 'refused'; readonly retryAfterMilliseconds: number}
  /** The answer belongs to another request. */
  | {readonly kind: 'mismatch'; readonly detail: string};

/** One replica of a plain service. */
export abstract class ServiceConnection {
  abstract call(
    request: ServiceRequest,
    token: CancellationToken,
  ): Promise<Result<ServiceResponse, ServiceError>>;
}

/** Makes connections to plain services by address. */
export abstract class ServiceConnector {
  abstract connect(upstream: string, address: string): ServiceConnection;
}
