import {Result} from '../../../base/common/result.js';
import {
  RowWrite,
  StorageError,
  WriteOutcome,
} from '../../../infrastructure/table/common/tableService.js';

/** What became of one row: its outcome, or why the transaction that held it failed. */
export type RowResult = Result<WriteOutcome, StorageError>;

/** Characters of a row's value. */
export function textLength(write: RowWrite): number {
  return write.value?.length ?? 0;
}

/** Writes single rows; implementations gather them into larger transactions. */
export abstract class RowWriter {
  /** Never rejects; `outcomeUnknown` means that the row may have been, or may yet be, written. */
  abstract write(write: RowWrite): Promise<RowResult>;
}
