import {CancellationToken} from '../../../base/common/cancellation.js';
import {Result} from '../../../base/common/result.js';

/** Interface of a plain service behind the router. */

/** A request to forward; the path is the part after the service's name. */
export interface ServiceRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: string;
}

/** A complete response of the service. */
export interface ServiceResponse {
  readonly status: number;
  readonly contentType: string | undefined;
  readonly body: string;
  /** The request id in the response, if the service sends one. */
  readonly requestId: string | undefined;
}

/** Why a call to a plain service failed. */
export type ServiceError =
  /** No connection was established, so the request was not executed. */
  | {readonly kind: 'unreachable'; readonly detail: string}
  /** The connection failed or timed out after sending, so the request may have been executed. */
  | {readonly kind: 'lost'; readonly detail: string}
  /** Rejected before execution (status 429 or 503 that is marked as not executed). */
  | {readonly kind: 'refused'; readonly retryAfterMilliseconds: number}
  /** The response belongs to another request. */
  | {readonly kind: 'mismatch'; readonly detail: string};

/** Connection to one replica of a plain service. */
export abstract class ServiceConnection {
  abstract call(
    request: ServiceRequest,
    token: CancellationToken,
  ): Promise<Result<ServiceResponse, ServiceError>>;
}

/** Creates connections to plain services. */
export abstract class ServiceConnector {
  abstract connect(upstream: string, address: string): ServiceConnection;
}
