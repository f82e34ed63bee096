import * as zod from 'zod';

import {TableRow} from '../../../infrastructure/table/common/tableService.js';

/** The stored form of a lease. */

/** Value of a lease's row. Each acquisition raises the fencing number, and each write has a nonce of its own. */
export interface LeaseRecord {
  /** Incarnation of the process that holds the lease. */
  readonly holder: string;
  readonly fencing: number;
  readonly nonce: string;
  /** Whether the holder released the lease, so that another process may acquire it at once. */
  readonly released: boolean;
}

const schema = zod.object({
  holder: zod.string(),
  fencing: zod.int().nonnegative(),
  nonce: zod.string(),
  released: zod.boolean(),
});

/** Parses a row; undefined if there is none. Throws if the row doesn't hold a lease record. */
export function readLeaseRecord(
  row: TableRow | undefined,
): LeaseRecord | undefined {
  return row === undefined ? undefined : schema.parse(JSON.parse(row.value));
}

/** Whether two records were written by the same write. */
export function isSameWrite(
  left: LeaseRecord | undefined,
  right: LeaseRecord | undefined,
): boolean {
  return (
    left !== undefined &&
    left.holder === right?.holder &&
    left.fencing === right.fencing &&
    left.nonce === right.nonce
  );
}

/** Whether the record still belongs to the held acquisition, whatever its nonce. */
export function isStillHeld(
  record: LeaseRecord | undefined,
  held: LeaseRecord | undefined,
): boolean {
  return (
    held !== undefined &&
    record?.holder === held.holder &&
    record.fencing === held.fencing &&
    !record.released
  );
}
