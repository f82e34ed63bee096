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
import {CLAIM_PREFIX, parseClaimRecord} from './claimRecord.js';
import {AgeingSettings} from './claimSettings.js';

/** Key hashes are hexadecimal; two digits name a slice. */
const SLICES = 256;

/**
 * Deletes expired claim rows: each step reads one page of one hash slice and deletes what has
 * expired there in one transaction. Instances start at different slices, so that they share the work.
 */
export class ClaimAgeing implements Disposable {
  private readonly source = new CancellationSource();
  private timer: Disposable | undefined;
  private slice: number;
  private after: string | undefined;
  private isRetired = false;
  /** Wall time at monotonic zero when this process began. */
  private readonly wallOffset: number;

  constructor(
    private readonly table: TableService,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly settings: AgeingSettings,
    incarnation: string,
  ) {
    this.wallOffset = clock.wallMilliseconds() - clock.monotonicMilliseconds();
    this.slice = rendezvousScore('claim-ageing', incarnation) % SLICES;
  }

  /** Begins to take steps. */
  start(): void {
    this.scheduleAfter(this.settings.intervalMilliseconds);
  }

  dispose(): void {
    this.isRetired = true;
    this.timer?.dispose();
    this.source.cancel('shutting down');
    this.source.dispose();
  }

  /** Takes one step; the number of rows deleted. */
  async step(): Promise<number> {
    const token = this.source.token;
    const prefix = CLAIM_PREFIX + this.slice.toString(16).padStart(2, '0');
    const {pageRows} = this.settings;
    const page = await this.table.scan(prefix, this.after, pageRows, token);
    if (!page.ok) {
      return 0;
    }
    const deleted = await this.deleteExpired(page.value, token);
    this.moveOn(page.value, pageRows);
    return deleted;
  }

  private async deleteExpired(
    rows: readonly TableRow[],
    token: CancellationToken,
  ): Promise<number> {
    const before = this.now() - this.settings.clockMarginMilliseconds;
    const expired = rows.filter(row => hasExpired(row, before));
    if (expired.length === 0) {
      return 0;
    }
    const writes = expired.map(deletion);
    const result = await this.table.transact(writes, 'each', token);
    const deleted = result.ok
      ? result.value.filter(outcome => outcome.kind === 'written').length
      : 0;
    this.metrics.count('claims.rows_aged', deleted);
    return deleted;
  }

  /** A wall clock that was set forward must not delete rows too early. */
  private now(): number {
    const steady = this.wallOffset + this.clock.monotonicMilliseconds();
    return Math.min(this.clock.wallMilliseconds(), steady);
  }

  private moveOn(rows: readonly TableRow[], pageRows: number): void {
    if (rows.length < pageRows) {
      this.slice = (this.slice + 1) % SLICES;
      this.after = undefined;
    } else {
      this.after = rows[rows.length - 1]!.key;
    }
  }

  private scheduleAfter(milliseconds: number): void {
    if (this.isRetired) {
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

/** The version keeps a row that was claimed again meanwhile. */
function deletion(row: TableRow): RowWrite {
  return {
    key: row.key,
    value: undefined,
    condition: {kind: 'version', version: row.version},
  };
}
