import {Finding} from '../../../base/common/finding.js';
import {assertNever} from '../../../base/common/result.js';
import {
  ExecutionStatus,
  RequestError,
  RequestFailure,
} from '../../requests/common/failure.js';

/** Maps failures to the HTTP status, headers and body that callers get. */

const statusByErrorKind: Readonly<Record<RequestError['kind'], number>> = {
  invalidRequest: 400,
  unauthenticated: 401,
  notFound: 404,
  duplicate: 409,
  tooLarge: 413,
  heldElsewhere: 421,
  keyReused: 422,
  overShare: 429,
  callerGone: 499,
  upstreamFailed: 502,
  cannotMeetTarget: 503,
  noUpstream: 503,
  shuttingDown: 503,
  cutOff: 503,
  claimUndecided: 503,
  deadlineExceeded: 504,
};

/** The body of every failed request. */
export interface FailureBody {
  readonly error: {
    readonly kind: RequestError['kind'];
    readonly message: string;
    readonly executed: ExecutionStatus;
    readonly retryAfterMilliseconds: number | null;
    readonly addresses: readonly string[];
    readonly findings: readonly Finding[];
  };
}

const MILLISECONDS_PER_SECOND = 1000;

/** Returns the HTTP status of a failure. A key held by an instance without a known address gives 503, not 421. */
export function failureStatus(failure: RequestFailure): number {
  const {error, addresses} = failure;
  if (error.kind === 'heldElsewhere' && addresses.length === 0) {
    return statusByErrorKind.claimUndecided;
  }
  return statusByErrorKind[error.kind];
}

export function toFailureBody(failure: RequestFailure): FailureBody {
  const {error} = failure;
  return {
    error: {
      kind: error.kind,
      message: failureMessage(error),
      executed: failure.executed,
      retryAfterMilliseconds: failure.retryAfterMilliseconds ?? null,
      addresses: failure.addresses,
      findings: error.kind === 'invalidRequest' ? error.findings : [],
    },
  };
}

/** The Retry-After header in whole seconds, rounded up; undefined when a retry can't succeed. */
export function retryAfterSeconds(failure: RequestFailure): number | undefined {
  const milliseconds = failure.retryAfterMilliseconds;
  if (milliseconds === undefined || !Number.isFinite(milliseconds)) {
    return undefined;
  }
  return Math.ceil(Math.max(0, milliseconds) / MILLISECONDS_PER_SECOND);
}

/** A failure of a request that was not dispatched. */
export function notExecuted(
  error: RequestError,
  retryAfterMilliseconds?: number,
  addresses: readonly string[] = [],
): RequestFailure {
  return {error, executed: 'no', retryAfterMilliseconds, addresses};
}

/** A failure of a request that may have been executed. */
export function maybeExecuted(
  error: RequestError,
  retryAfterMilliseconds?: number,
  addresses: readonly string[] = [],
): RequestFailure {
  return {error, executed: 'unknown', retryAfterMilliseconds, addresses};
}

/** Refuses a request as invalid, with a finding for each error. */
export function invalidRequest(findings: readonly Finding[]): RequestFailure {
  return notExecuted({kind: 'invalidRequest', findings});
}

/** Human-readable message in one sentence; contains no key and no request content. */
function failureMessage(error: RequestError): string {
  switch (error.kind) {
    case 'invalidRequest':
      return 'The request is not valid; see findings.';
    case 'unauthenticated':
      return 'The Authorization header is missing or names no client account.';
    case 'notFound':
      return `There is no ${error.what}.`;
    case 'tooLarge':
      return `The body is larger than ${error.limitBytes} bytes.`;
    case 'cannotMeetTarget':
      return `The request can not be on time: ${error.detail}.`;
    case 'overShare':
      return 'The client account is over its share while others want capacity.';
    case 'noUpstream':
      return `No upstream can take the request: ${error.detail}.`;
    case 'shuttingDown':
      return 'This instance is shutting down.';
    case 'cutOff':
      return 'This instance has no confirmed configuration at present.';
    case 'claimUndecided':
      return `It could not be decided whether the key was used: ${error.detail}.`;
    case 'heldElsewhere':
      return 'Another instance holds the key; ask that one.';
    case 'duplicate':
      return 'A request with the same key is running or has run.';
    case 'keyReused':
      return 'The key stands for another request; this one was not run.';
    case 'upstreamFailed':
      return `An upstream failed: ${error.detail}.`;
    case 'deadlineExceeded':
      return 'The deadline passed before the whole reply was there.';
    case 'callerGone':
      return 'The caller closed the connection or stopped reading.';
    default:
      return assertNever(error);
  }
}
