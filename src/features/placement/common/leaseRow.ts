import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {Result, success} from '../../../base/common/result.js';
import {
  RowCondition,
  StorageError,
  TableRow,
  TableService,
} from '../../../infrastructure/table/common/tableService.js';
import {withDeadline} from '../../configuration/common/callDeadline.js';
import {LeaseRecord} from './leaseRecord.js';

/** Outcome of writing the row. */
export type RowWriteOutcome =
  | {readonly kind: 'written'; readonly version: number}
  | {readonly kind: 'conflict'; readonly row: TableRow | undefined}
  /** The write may have taken effect or may still do so. */
  | {readonly kind: 'answerLost'}
  /** The write has no effect. */
  | {readonly kind: 'failed'};

/** Reads and writes the row of a lease. Each call has a time limit. */
export class LeaseRow {
  constructor(
    private readonly key: string,
    private readonly table: TableService,
    private readonly clock: Clock,
    private readonly callMilliseconds: number,
  ) {}

  async read(
    token: CancellationToken,
  ): Promise<Result<TableRow | undefined, StorageError>> {
    const rows = await this.withTimeLimit(token, call =>
      this.table.read([this.key], call),
    );
    return rows.ok ? success(rows.value[0]) : rows;
  }

  async write(
    record: LeaseRecord,
    condition: RowCondition,
    token: CancellationToken,
  ): Promise<RowWriteOutcome> {
    const value = JSON.stringify(record);
    const writes = [{key: this.key, value, condition}];
    const result = await this.withTimeLimit(token, call =>
      this.table.transact(writes, 'all', call),
    );
    if (!result.ok) {
      const isLost = result.error.kind === 'outcomeUnknown';
      return {kind: isLost ? 'answerLost' : 'failed'};
    }
    const [outcome] = result.value;
    return outcome?.kind === 'written'
      ? outcome
      : {kind: 'conflict', row: outcome?.current};
  }

  private withTimeLimit<T>(
    token: CancellationToken,
    call: (token: CancellationToken) => Promise<T>,
  ): Promise<T> {
    return withDeadline(this.clock, token, this.callMilliseconds, call);
  }
}

/** Whether a row satisfies the condition of a write. */
export function satisfiesCondition(
  row: TableRow | undefined,
  condition: RowCondition,
): boolean {
  return condition.kind === 'version'
    ? row?.version === condition.version
    : row === undefined;
}
