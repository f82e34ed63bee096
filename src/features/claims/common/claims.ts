import {CancellationToken} from '../../../base/common/cancellation.js';
import {RequestOutcome} from '../../requests/common/request.js';

/**
 * At-most-once execution by key. A key is bound to an incarnation (it starts with a grant from
 * `GET /v1/entrypoints`) or plain. A bound key is only ever dispatched by its incarnation; a plain
 * key only after its claim row was inserted.
 */

/** How a key came to be owned. */
export type KeyBinding =
  | {
      readonly kind: 'bound';
      readonly incarnation: string;
      readonly expiresAtWallMilliseconds: number;
    }
  | {readonly kind: 'plain'};

/** Whether this instance may dispatch the request, once. */
export type ClaimDecision =
  /** The caller of `claim` may dispatch, exactly once. */
  | {readonly kind: 'granted'}
  /** The key was claimed before; its outcome, as far as known. */
  | {readonly kind: 'duplicate'; readonly outcome: RequestOutcome}
  /** The key belongs to another incarnation; `outcome` is undefined when that could not be asked. */
  | {
      readonly kind: 'heldElsewhere';
      readonly incarnation: string;
      readonly outcome: RequestOutcome | undefined;
    }
  /** Surely never dispatched by anyone and not claimed here (bound key of this incarnation, expired grant). */
  | {readonly kind: 'refusedNotRun'; readonly detail: string}
  /**
   * The key stands for another request. Nothing of this one was or will be dispatched under it; with
   * `sameWork` only the class of work differs, so that the work itself may have run.
   */
  | {readonly kind: 'keyReused'; readonly sameWork: boolean}
  /** As `refusedNotRun`, for want of memory at present: there is room again after the time. */
  | {
      readonly kind: 'noRoom';
      readonly detail: string;
      readonly retryAfterMilliseconds: number;
    }
  /** The claim could not be decided: another instance may have dispatched it. */
  | {
      readonly kind: 'undecided';
      readonly detail: string;
      readonly retryAfterMilliseconds: number;
    };

/** Decides who may dispatch a keyed request and remembers what became of it. */
export abstract class ClaimService {
  /** `fingerprint` tells requests apart; without one a key is taken to stand for the same request. */
  abstract claim(
    clientAccount: string,
    key: string,
    token: CancellationToken,
    fingerprint?: string,
  ): Promise<ClaimDecision>;

  /** Records the outcome of a key that was granted here. */
  abstract complete(
    clientAccount: string,
    key: string,
    outcome: RequestOutcome,
  ): void;

  /** What became of a key, asking its incarnation, then the table. */
  abstract lookUp(
    clientAccount: string,
    key: string,
    token: CancellationToken,
  ): Promise<RequestOutcome | undefined>;

  /**
   * Whether this process knows, without asking anyone, that nothing was dispatched under the key and nothing
   * is being dispatched: only of keys bound to this incarnation, and of keys that nobody can run.
   */
  abstract isSurelyNotRun(clientAccount: string, key: string): boolean;

  /** A grant for keys bound to this incarnation. */
  abstract issueGrant(clientAccount: string): string;
}
