import {CancellationToken} from '../../../base/common/cancellation.js';
import {Result} from '../../../base/common/result.js';

/** The platform's transactional table, as a port. */

/** A stored row; versions start at 1 and grow by 1 with each write to the key. */
export interface TableRow {
  readonly key: string;
  readonly version: number;
  /** JSON text. */
  readonly value: string;
}

/** What must hold of a row for its write to take effect. */
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

/** What became of one row of a transaction. */
export type WriteOutcome =
  | {readonly kind: 'written'; readonly version: number}
  | {readonly kind: 'conflict'; readonly current: TableRow | undefined};

/** `all`: no row is written unless every condition holds; `each`: rows are decided one by one. */
export type TransactionMode = 'all' | 'each';

/** Why a call to the platform's storage failed. */
export type StorageError =
  /** The call surely had no effect (never sent, or refused before it ran). */
  | {readonly kind: 'unavailable'; readonly detail: string}
  /** The answer was lost: a write may have taken effect. */
  | {readonly kind: 'outcomeUnknown'; readonly detail: string}
  /** Refused by the platform's rate limit, without effect. */
  | {readonly kind: 'rateLimited'; readonly retryAfterMilliseconds: number};

/** Reads and writes rows; a transaction counts as one write however many rows it has (at most 100). */
export abstract class TableService {
  /** Reads rows by key, in the order asked; a missing row is undefined. */
  abstract read(
    keys: readonly string[],
    token: CancellationToken,
  ): Promise<Result<ReadonlyArray<TableRow | undefined>, StorageError>>;

  /** Reads rows whose key starts with a prefix, sorted by key, starting after a key. */
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
