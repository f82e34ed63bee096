import {Finding} from '../../../base/common/finding.js';

/** What callers are told when a request fails. */

/**
 * Whether the request was run.
 * `no`: nothing of it ran or ever will. `yes`: it ran. `unknown`: it may have run.
 */
export type Executed = 'no' | 'unknown' | 'yes';

/** Why a request failed; the wire name is `kind`. */
export type RequestError =
  | {readonly kind: 'invalidRequest'; readonly findings: readonly Finding[]}
  | {readonly kind: 'unauthenticated'}
  | {readonly kind: 'notFound'; readonly what: string}
  | {readonly kind: 'tooLarge'; readonly limitBytes: number}
  /** No pipeline can be on time. */
  | {readonly kind: 'cannotMeetTarget'; readonly detail: string}
  /** This client account is over its share while others want capacity. */
  | {readonly kind: 'overShare'}
  | {readonly kind: 'noUpstream'; readonly detail: string}
  | {readonly kind: 'shuttingDown'}
  /** This instance was cut off for too long to take new work. */
  | {readonly kind: 'cutOff'}
  /** The claim on a non-idempotent request could not be decided. */
  | {readonly kind: 'claimUndecided'; readonly detail: string}
  /** Another instance holds the request. */
  | {readonly kind: 'heldElsewhere'; readonly incarnation: string}
  /** A request with the same key is running or has run. */
  | {readonly kind: 'duplicate'}
  /** The key stands for another request. */
  | {readonly kind: 'keyReused'}
  | {readonly kind: 'upstreamFailed'; readonly detail: string}
  | {readonly kind: 'deadlineExceeded'}
  | {readonly kind: 'callerGone'};

/** A failure as decided: the error, whether the request ran, and when and where to come back. */
export interface RequestFailure {
  readonly error: RequestError;
  readonly executed: Executed;
  /** Milliseconds; undefined when coming back can't help. */
  readonly retryAfterMilliseconds: number | undefined;
  /** Caller addresses to use next, best first; empty for any. */
  readonly addresses: readonly string[];
}
