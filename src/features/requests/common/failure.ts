import {Finding} from '../../../base/common/finding.js';

/** Request failures as reported to callers. */

/**
 * Whether the request was executed.
 * `no`: no part of it ran or ever will. `yes`: it ran. `unknown`: it may have run.
 */
export type ExecutionStatus = 'no' | 'unknown' | 'yes';

/** Why a request failed; `kind` is sent under this name. */
export type RequestError =
  | {readonly kind: 'invalidRequest'; readonly findings: readonly Finding[]}
  | {readonly kind: 'unauthenticated'}
  | {readonly kind: 'notFound'; readonly what: string}
  | {readonly kind: 'tooLarge'; readonly limitBytes: number}
  /** No pipeline can meet the latency target. */
  | {readonly kind: 'cannotMeetTarget'; readonly detail: string}
  /** The client account exceeds its share while others need capacity. */
  | {readonly kind: 'overShare'}
  | {readonly kind: 'noUpstream'; readonly detail: string}
  | {readonly kind: 'shuttingDown'}
  /** This instance has been disconnected for too long to accept new work. */
  | {readonly kind: 'cutOff'}
  /** The claim on a non-idempotent request could not be decided. */
  | {readonly kind: 'claimUndecided'; readonly detail: string}
  /** Another instance holds the request. */
  | {readonly kind: 'heldElsewhere'; readonly incarnation: string}
  /** A request with the same key is running or has run. */
  | {readonly kind: 'duplicate'}
  /** The key already belongs to a different request. */
  | {readonly kind: 'keyReused'}
  | {readonly kind: 'upstreamFailed'; readonly detail: string}
  | {readonly kind: 'deadlineExceeded'}
  | {readonly kind: 'callerGone'};

/** A failed request: the error, whether it was executed, and when and where to retry. */
export interface RequestFailure {
  readonly error: RequestError;
  readonly executed: ExecutionStatus;
  /** Undefined if a retry cannot succeed. */
  readonly retryAfterMilliseconds: number | undefined;
  /** Caller addresses for a retry, best first; empty if any will do. */
  readonly addresses: readonly string[];
}
