import {CancellationToken} from '../../../base/common/cancellation.js';
import {RowWrite} from '../../../infrastructure/table/common/tableService.js';
import {RequestOutcome} from '../../requests/common/request.js';
import {RowResult} from './rowWriter.js';

/** Messages between claim services. */

/** Asks an incarnation about a key. */
export interface AskMessage {
  /** Whom the question is for; any other process declines it. */
  readonly incarnation: string;
  readonly keyHash: string;
  /** Expiry of the grant; undefined for a plain key. */
  readonly grantExpiresAt: number | undefined;
}

/** What an incarnation knows of a key. */
export type AskAnswer =
  | {
      readonly kind: 'seen';
      readonly outcome: RequestOutcome;
      /** What the key stands for; undefined when the claim named none. */
      readonly fingerprint?: string | undefined;
    }
  /** Never dispatched here. `closed`: nor will it be, since its grant has expired. */
  | {readonly kind: 'notSeen'; readonly closed: boolean}
  /** It may have been dispatched and forgotten since. */
  | {readonly kind: 'forgotten'}
  /** The process at this address is not the one that was asked for. */
  | {readonly kind: 'otherIncarnation'};

/** Reaches the claim services of other instances, as a port; both calls reject when no answer came. */
export abstract class ClaimPeers {
  abstract ask(
    address: string,
    message: AskMessage,
    token: CancellationToken,
  ): Promise<AskAnswer>;

  /** Writes rows at a gatherer; the results are in the order of the writes. */
  abstract gather(
    address: string,
    writes: readonly RowWrite[],
    token: CancellationToken,
  ): Promise<readonly RowResult[]>;
}
