import {RowWrite} from './tableService.js';

/** Rows that a transaction may hold. */
const TRANSACTION_ROW_LIMIT = 100;

/** Throws when a transaction breaks the table's limits: a mistake of the program, not a fault. */
export function checkTransaction(writes: readonly RowWrite[]): void {
  if (writes.length === 0 || writes.length > TRANSACTION_ROW_LIMIT) {
    throw new RangeError(
      `a transaction holds 1 to ${TRANSACTION_ROW_LIMIT} rows, not ${writes.length}`,
    );
  }
  const keys = new Set(writes.map(write => write.key));
  if (keys.size !== writes.length) {
    throw new RangeError('a transaction names each key once');
  }
}
