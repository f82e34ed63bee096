import {CancellationToken} from '../../../base/common/cancellation.js';
import {failure, Result, success} from '../../../base/common/result.js';
import {ClockedTableService} from '../../../infrastructure/table/common/clockedTableService.js';
import {
  RowCondition,
  StorageError,
} from '../../../infrastructure/table/common/tableService.js';
import {EMPTY_RECORD} from './crashRecord.js';
import {CRASH_RECORD_KEY} from './crashRecordKeeper.js';
import {formatRecordRow, parseRecordRow} from './crashRecordRow.js';

/** Writes that are tried while instances write at the same time. */
const WRITE_LIMIT = 5;

/** Why crashes could not be forgotten; nothing was changed, except perhaps with an unknown outcome of the write. */
export type ForgetCrashesError =
  | {readonly kind: 'storage'; readonly error: StorageError}
  /** The record was written by a later release, whose program must be used. */
  | {readonly kind: 'newerFormat'; readonly format: number}
  /** Instances wrote the record at the same time, again and again. */
  | {readonly kind: 'conflict'};

/** Has all instances forget the crashes until now; resolves with the milliseconds of the platform's clock until which they do. */
export async function forgetCrashes(
  table: ClockedTableService,
  token: CancellationToken,
): Promise<Result<number, ForgetCrashesError>> {
  for (let count = 0; count < WRITE_LIMIT; count++) {
    const read = await table.readWithClock(CRASH_RECORD_KEY, token);
    if (!read.ok) {
      return failure({kind: 'storage', error: read.error});
    }
    const {row, clockMilliseconds: forgottenUntil} = read.value;
    const parsed = row && parseRecordRow(row.value);
    if (parsed?.kind === 'newerFormat') {
      return failure(parsed);
    }
    const condition: RowCondition =
      row === undefined
        ? {kind: 'absent'}
        : {kind: 'version', version: row.version};
    const value = formatRecordRow({...EMPTY_RECORD, forgottenUntil});
    const written = await table.transact(
      [{key: CRASH_RECORD_KEY, value, condition}],
      'all',
      token,
    );
    if (!written.ok) {
      return failure({kind: 'storage', error: written.error});
    }
    if (written.value[0]?.kind === 'written') {
      return success(forgottenUntil);
    }
  }
  return failure({kind: 'conflict'});
}
