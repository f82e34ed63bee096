import {CancellationToken} from '../../../base/common/cancellation.js';
import {Result} from '../../../base/common/result.js';
import {ServiceResponse} from '../../../infrastructure/service/common/serviceConnection.js';
import {ClassOfWork} from '../../configuration/common/configuration.js';
import {RequestFailure} from '../../requests/common/failure.js';

/** Dispatch of callers' calls to plain services. */

/** A call to forward to a replica of a plain service. */
export interface ServiceCallRequest {
  /** Unique for each attempt by a caller. */
  readonly requestId: string;
  readonly service: string;
  readonly method: string;
  /** Path and query after the service name; starts with `/` and contains no dot segments. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: string;
  /** The caller's Idempotency-Key, or undefined. */
  readonly idempotencyKey: string | undefined;
  /** Fingerprint of the request, to tell a resubmission from a different request with the same key. */
  readonly fingerprint?: string | undefined;
  readonly clientAccount: string;
  readonly classOfWork: ClassOfWork;
  /** Whether both the class and the call allow repeats; only then is a call retried that may have run. */
  readonly repeatable: boolean;
  /** Monotonic milliseconds by which the complete response is due. */
  readonly deadlineAt: number;
}

/** Sends calls to replicas of their service and retries only where a repeat is safe. */
export abstract class ServiceDispatcher {
  /** Resolves with the complete response, or with a failure that states whether the call was executed. */
  abstract dispatch(
    request: ServiceCallRequest,
    token: CancellationToken,
  ): Promise<Result<ServiceResponse, RequestFailure>>;
}
