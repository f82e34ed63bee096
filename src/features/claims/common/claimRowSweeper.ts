import {
  CancellationSource,
  CancellationToken,
} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {rendezvousScore} from '../../../base/common/rendezvous.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {
  RowWrite,
  TableRow,
  TableService,
} from '../../../infrastructure/table/common/tableService.js';
import {CLAIM_ROW_PREFIX, parseClaimRecord} from './claimRecord.js';
import {SweepSettings} from './claimSettings.js';

/** A slice is the set of rows whose hexadecimal key hash starts with the same two digits. */
const SLICE_COUNT = 256;

/**
 * Deletes expired claim rows. Each step reads one page of one slice and deletes its expired rows in
 * one transaction. Instances start at different slices to distribute the work.
 */
export class ClaimRowSweeper implements Disposable {
  private readonly source = new CancellationSource();
  private timer: Disposable | undefined;
  private slice: number;
  private after: string | undefined;
  private isDisposed = false;
  /** Wall time at monotonic zero, taken when this process started. */
  private readonly wallOffsetMilliseconds: number;

  constructor(
    private readonly table: TableService,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly settings: SweepSettings,
    incarnation: string,
  ) {
    this.wallOffsetMilliseconds =
      clock.wallMilliseconds() - clock.monotonicMilliseconds();
    this.slice = rendezvousScore('claim-ageing', incarnation) % SLICE_COUNT;
  }

  /** Schedules the periodic steps. */
  start(): void {
    this.scheduleAfter(this.settings.intervalMilliseconds);
  }

  dispose(): void {
    this.isDisposed = true;
    this.timer?.dispose();
    this.source.cancel('shutting down');
    this.source.dispose();
  }

  /** Runs one step and returns the number of deleted rows. */
  async step(): Promise<number> {
    const token = this.source.token;
    const prefix = CLAIM_ROW_PREFIX + this.slice.toString(16).padStart(2, '0');
    const {pageRows} = this.settings;
    const page = await this.table.scan(prefix, this.after, pageRows, token);
    if (!page.ok) {
      return 0;
    }
    const deleted = await this.deleteExpired(page.value, token);
    this.advanceCursor(page.value, pageRows);
    return deleted;
  }

  private async deleteExpired(
    rows: readonly TableRow[],
    token: CancellationToken,
  ): Promise<number> {
    const cutoff = this.now() - this.settings.clockMarginMilliseconds;
    const expired = rows.filter(row => hasExpired(row, cutoff));
    if (expired.length === 0) {
      return 0;
    }
    const writes = expired.map(toDeletion);
    const result = await this.table.transact(writes, 'each', token);
    const deleted = result.ok
      ? result.value.filter(outcome => outcome.kind === 'written').length
      : 0;
    this.metrics.count('claims.rows_aged', deleted);
    return deleted;
  }

  /** Wall time; never later than start time plus elapsed time, so that a clock set forward deletes no rows early. */
  private now(): number {
    const steadyWall =
      this.wallOffsetMilliseconds + this.clock.monotonicMilliseconds();
    return Math.min(this.clock.wallMilliseconds(), steadyWall);
  }

  private advanceCursor(rows: readonly TableRow[], pageRows: number): void {
    if (rows.length < pageRows) {
      this.slice = (this.slice + 1) % SLICE_COUNT;
      this.after = undefined;
    } else {
      this.after = rows[rows.length - 1]!.key;
    }
  }

  private scheduleAfter(milliseconds: number): void {
    if (this.isDisposed) {
      return;
    }
    this.timer = this.clock.setTimer(milliseconds, () => void this.run());
  }

  private async run(): Promise<void> {
    const {intervalMilliseconds, busyIntervalMilliseconds, pageRows} =
      this.settings;
    const deleted = await this.step().catch(() => 0);
    this.scheduleAfter(
      deleted === pageRows ? busyIntervalMilliseconds : intervalMilliseconds,
    );
  }
}

function hasExpired(row: TableRow, beforeWallMilliseconds: number): boolean {
  const record = parseClaimRecord(row);
  return record !== undefined && record.expiresAt <= beforeWallMilliseconds;
}

/** The version condition protects a row that was claimed again in the meantime. */
function toDeletion(row: TableRow): RowWrite {
  return {
    key: row.key,
    value: undefined,
    condition: {kind: 'version', version: row.version},
  };
}
