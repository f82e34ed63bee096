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

/** How a write of the row ended. */
export type RowOutcome =
  | {readonly kind: 'written'; readonly version: number}
  | {readonly kind: 'conflict'; readonly row: TableRow | undefined}
  /** It may have taken effect, or may yet. */
  | {readonly kind: 'answerLost'}
  /** It surely has no effect. */
  | {readonly kind: 'failed'};

/** Reads and writes the row of a lease, each within a time limit. */
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
    const rows = await this.bounded(token, call =>
      this.table.read([this.key], call),
    );
    return rows.ok ? success(rows.value[0]) : rows;
  }

  async write(
    record: LeaseRecord,
    condition: RowCondition,
    token: CancellationToken,
  ): Promise<RowOutcome> {
    const value = JSON.stringify(record);
    const writes = [{key: this.key, value, condition}];
    const result = await this.bounded(token, call =>
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

  private bounded<T>(
    token: CancellationToken,
    call: (token: CancellationToken) => Promise<T>,
  ): Promise<T> {
    return withDeadline(this.clock, token, this.callMilliseconds, call);
  }
}

/** Whether a row would meet the condition of a write. */
export function meets(
  row: TableRow | undefined,
  condition: RowCondition,
): boolean {
  return condition.kind === 'version'
    ? row?.version === condition.version
    : row === undefined;
}
