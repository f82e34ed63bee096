import {CancellationToken} from '../../../base/common/cancellation.js';
import {Result} from '../../../base/common/result.js';
import {StorageError, TableRow, TableService} from './tableService.js';

/** A row as of a moment of the platform's clock. */
export interface ClockedRow {
  /** Undefined if the row doesn't exist. */
  readonly row: TableRow | undefined;
  /** Milliseconds of the platform's steady clock, which all processes share and which outlasts them. */
  readonly clockMilliseconds: number;
}

/** A table on a platform that tells the time of its steady clock. */
export abstract class ClockedTableService extends TableService {
  /** Reads one row and the platform's clock. */
  abstract readWithClock(
    key: string,
    token: CancellationToken,
  ): Promise<Result<ClockedRow, StorageError>>;
}
