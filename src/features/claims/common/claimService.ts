import {CancellationToken} from '../../../base/common/cancellation.js';
import {RequestOutcome} from '../../requests/common/request.js';

/**
 * At-most-once execution of requests with an idempotency key. A bound key starts with a grant from
 * `GET /v1/entrypoints` and can only be dispatched by the incarnation (process run) that issued the
 * grant. A plain key can only be dispatched after its claim row was inserted into the table.
 */

/** Which instances can dispatch a key: the issuer of its grant, or any that inserts the claim row. */
export type KeyBinding =
  | {
      readonly kind: 'bound';
      readonly incarnation: string;
      readonly expiresAtWallMilliseconds: number;
    }
  | {readonly kind: 'plain'};

/** The result of a claim. */
export type ClaimDecision =
  /** The caller of `claim` may dispatch, exactly once. */
  | {readonly kind: 'granted'}
  /** The key was claimed before; the outcome is `unknown` if it could not be determined. */
  | {readonly kind: 'duplicate'; readonly outcome: RequestOutcome}
  /**
   * The key is bound to another incarnation; `outcome` is undefined when that incarnation could not be reached or
   * may still dispatch the key.
   */
  | {
      readonly kind: 'heldElsewhere';
      readonly incarnation: string;
      readonly outcome: RequestOutcome | undefined;
    }
  /** Never dispatched by any instance and not claimed here: the grant has expired or is invalid. */
  | {readonly kind: 'refusedNotRun'; readonly detail: string}
  /**
   * The key was claimed for a different request, so this one was not and will not be dispatched under it. With
   * `sameWork` only the class of work differs, so the same work may have run.
   */
  | {readonly kind: 'keyReused'; readonly sameWork: boolean}
  /** Never dispatched by any instance; the key registry is full and frees capacity after `retryAfterMilliseconds`. */
  | {
      readonly kind: 'noRoom';
      readonly detail: string;
      readonly retryAfterMilliseconds: number;
    }
  /** The claim could not be decided; another instance may have dispatched the request. */
  | {
      readonly kind: 'undecided';
      readonly detail: string;
      readonly retryAfterMilliseconds: number;
    };

/** Decides which instance may dispatch a request with a key, and stores the outcome of the request. */
export abstract class ClaimService {
  /** `fingerprint` identifies the request; without one, the key matches any request. */
  abstract claim(
    clientAccount: string,
    key: string,
    token: CancellationToken,
    fingerprint?: string,
  ): Promise<ClaimDecision>;

  /** Records the outcome of a key whose claim this instance granted. */
  abstract complete(
    clientAccount: string,
    key: string,
    outcome: RequestOutcome,
  ): void;

  /** Finds the outcome of a key in memory, at its incarnation or in the table; undefined if it was never claimed. */
  abstract findOutcome(
    clientAccount: string,
    key: string,
    token: CancellationToken,
  ): Promise<RequestOutcome | undefined>;

  /**
   * Whether this process knows from memory that nothing was dispatched or is being dispatched under the key.
   * This is known only for keys bound to this incarnation and for keys with an invalid grant.
   */
  abstract isProvenNotRun(clientAccount: string, key: string): boolean;

  /** Issues a grant for keys bound to this incarnation. */
  abstract issueGrant(clientAccount: string): string;
}
