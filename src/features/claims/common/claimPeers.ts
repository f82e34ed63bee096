import {CancellationToken} from '../../../base/common/cancellation.js';
import {RowWrite} from '../../../infrastructure/table/common/tableService.js';
import {RequestOutcome} from '../../requests/common/request.js';
import {RowResult} from './rowWriter.js';

/** Requests between the claim services of different instances. */

/** Asks an incarnation for the state of a key. */
export interface AskRequest {
  /** The process that the request is for; any other process responds with `otherIncarnation`. */
  readonly incarnation: string;
  readonly keyHash: string;
  /** Expiry of the grant in wall clock milliseconds; undefined for a plain key. */
  readonly grantExpiresAt: number | undefined;
}

/** The state of a key at an incarnation. */
export type AskResponse =
  | {
      readonly kind: 'seen';
      readonly outcome: RequestOutcome;
      /** Identifies the request; undefined when the claim had none. */
      readonly fingerprint?: string | undefined;
    }
  /** Not dispatched so far. With `closed` it never will be, because the grant has expired. */
  | {readonly kind: 'notSeen'; readonly closed: boolean}
  /** Not in memory; it may have been dispatched and evicted since. */
  | {readonly kind: 'forgotten'}
  /** The process at this address is not the requested incarnation. */
  | {readonly kind: 'otherIncarnation'};

/** Calls the claim services of other instances. Both calls reject when there is no response. */
export abstract class ClaimPeers {
  abstract ask(
    address: string,
    request: AskRequest,
    token: CancellationToken,
  ): Promise<AskResponse>;

  /** Writes rows through a gatherer; the results are in the order of the writes. */
  abstract gather(
    address: string,
    writes: readonly RowWrite[],
    token: CancellationToken,
  ): Promise<readonly RowResult[]>;
}
