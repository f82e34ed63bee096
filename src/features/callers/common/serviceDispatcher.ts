import {CancellationToken} from '../../../base/common/cancellation.js';
import {Result} from '../../../base/common/result.js';
import {ServiceResponse} from '../../../infrastructure/service/common/serviceConnection.js';
import {ClassOfWork} from '../../configuration/common/configuration.js';
import {RequestFailure} from '../../requests/common/failure.js';

/** Calls to plain services, as accepted from callers. */

/** One call to pass on to a replica of a plain service. */
export interface ServiceCallRequest {
  /** Unique for each attempt by a caller. */
  readonly requestId: string;
  readonly service: string;
  readonly method: string;
  /** Path and query after the service's name; starts with `/` and holds no dot segments. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: string;
  /** The caller's Idempotency-Key, or undefined. */
  readonly idempotencyKey: string | undefined;
  /** What the key stands for, to tell a resubmission from another request with the key. */
  readonly fingerprint?: string | undefined;
  readonly clientAccount: string;
  readonly classOfWork: ClassOfWork;
  /** Whether both the class and the call may be run again; only then may it be retried after it may have run. */
  readonly repeatable: boolean;
  /** Monotonic milliseconds by which the whole answer is due. */
  readonly deadlineAt: number;
}

/** Sends a call to a replica of its service, with retries only where they are safe. */
export abstract class ServiceDispatcher {
  /** Resolves with the whole answer, or with a failure that says truthfully whether it ran. */
  abstract dispatch(
    request: ServiceCallRequest,
    token: CancellationToken,
  ): Promise<Result<ServiceResponse, RequestFailure>>;
}
