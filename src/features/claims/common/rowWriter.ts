import {Result} from '../../../base/common/result.js';
import {
  RowWrite,
  StorageError,
  WriteOutcome,
} from '../../../infrastructure/table/common/tableService.js';

/** The result of writing one row: its outcome, or the error of its transaction. */
export type RowResult = Result<WriteOutcome, StorageError>;

/** Characters of the row's value; 0 for a deletion. */
export function valueLength(write: RowWrite): number {
  return write.value?.length ?? 0;
}

/** Writes single rows; implementations batch them into transactions. */
export abstract class RowWriter {
  /** Never rejects. `outcomeUnknown` means that the row may have been written or may still be. */
  abstract write(write: RowWrite): Promise<RowResult>;
}
