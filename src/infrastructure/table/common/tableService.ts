import {CancellationToken} from '../../../base/common/cancellation.js';
import {Result} from '../../../base/common/result.js';

/** Interface of the platform's transactional table. */

/** A stored row. Versions start at 1 and increase by 1 with each write to the key. */
export interface TableRow {
  readonly key: string;
  readonly version: number;
  /** JSON text. */
  readonly value: string;
}

/** Precondition of a write, checked against the stored row. */
export type RowCondition =
  | {readonly kind: 'any'}
  | {readonly kind: 'absent'}
  | {readonly kind: 'version'; readonly version: number};

/** One row to write; an undefined value deletes it. */
export interface RowWrite {
  readonly key: string;
  readonly value: string | undefined;
  readonly condition: RowCondition;
}

/** The outcome of a transaction for one row. */
export type WriteOutcome =
  | {readonly kind: 'written'; readonly version: number}
  | {readonly kind: 'conflict'; readonly current: TableRow | undefined};

/** `all`: no row is written unless every condition holds; `each`: each row is written if its own condition holds. */
export type TransactionMode = 'all' | 'each';

/** Why a call to the platform's storage failed. */
export type StorageError =
  /** The call had no effect: it was not sent, or was rejected before execution. */
  | {readonly kind: 'unavailable'; readonly detail: string}
  /** No valid response was received, so a write may have taken effect. */
  | {readonly kind: 'outcomeUnknown'; readonly detail: string}
  /** Rejected by the platform's rate limit, without effect. */
  | {readonly kind: 'rateLimited'; readonly retryAfterMilliseconds: number};

/** Reads and writes rows. A transaction has at most 100 rows and counts as one write, whatever its number of rows. */
export abstract class TableService {
  /** Reads rows by key, in the order of the keys; a missing row is undefined. */
  abstract read(
    keys: readonly string[],
    token: CancellationToken,
  ): Promise<Result<ReadonlyArray<TableRow | undefined>, StorageError>>;

  /** Reads rows whose key starts with a prefix, sorted by key, beginning after a given key. */
  abstract scan(
    prefix: string,
    after: string | undefined,
    limit: number,
    token: CancellationToken,
  ): Promise<Result<readonly TableRow[], StorageError>>;

  /** Writes rows in one transaction; outcomes are in the order of the writes. */
  abstract transact(
    writes: readonly RowWrite[],
    mode: TransactionMode,
    token: CancellationToken,
  ): Promise<Result<readonly WriteOutcome[], StorageError>>;
}
