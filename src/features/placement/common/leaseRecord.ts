import * as zod from 'zod';

import {TableRow} from '../../../infrastructure/table/common/tableService.js';

/** The row of a lease. */

/** What the row holds; every taking grows the fencing number, every write has its own nonce. */
export interface LeaseRecord {
  /** Incarnation of the process that holds the lease. */
  readonly holder: string;
  readonly fencing: number;
  readonly nonce: string;
  /** Given up by its holder: the next may take it at once. */
  readonly released: boolean;
}

const schema = zod.object({
  holder: zod.string(),
  fencing: zod.int().nonnegative(),
  nonce: zod.string(),
  released: zod.boolean(),
});

/** Reads a row; undefined when there is none. Throws on a row that this feature did not write. */
export function readLeaseRecord(
  row: TableRow | undefined,
): LeaseRecord | undefined {
  return row === undefined ? undefined : schema.parse(JSON.parse(row.value));
}

/** Whether two records come from the same write. */
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

/** Whether the row still names the taking that is held, whatever its nonce. */
export function isHeldStill(
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
