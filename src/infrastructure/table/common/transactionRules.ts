import {RowWrite} from './tableService.js';

const MAX_TRANSACTION_ROWS = 100;

/** Throws if a transaction violates the table's limits, which is a programming error. */
export function validateTransaction(writes: readonly RowWrite[]): void {
  if (writes.length === 0 || writes.length > MAX_TRANSACTION_ROWS) {
    throw new RangeError(
      `a transaction holds 1 to ${MAX_TRANSACTION_ROWS} rows, not ${writes.length}`,
    );
  }
  const keys = new Set(writes.map(write => write.key));
  if (keys.size !== writes.length) {
    throw new RangeError('a transaction names each key once');
  }
}
