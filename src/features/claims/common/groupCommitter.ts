import {CancellationSource} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {failure, Result, success} from '../../../base/common/result.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {
  RowWrite,
  StorageError,
  TableService,
  WriteOutcome,
} from '../../../infrastructure/table/common/tableService.js';
import {CommitSettings} from './claimSettings.js';
import {RowResult, RowWriter, textLength} from './rowWriter.js';

/** Rows of one transaction are decided one by one, so strangers may share it. */

interface PendingRow {
  readonly write: RowWrite;
  readonly resolve: (result: RowResult) => void;
}

type TransactionResult = Result<readonly WriteOutcome[], StorageError>;

/** Gathers rows for a few milliseconds into one transaction; transactions keep a spacing. */
export class GroupCommitter extends RowWriter implements Disposable {
  private waiting: PendingRow[] = [];
  /** Text of the rows that wait. */
  private characters = 0;
  private inFlight = 0;
  private timer: Disposable | undefined;
  private disposed = false;
  private lastStartedAt = Number.NEGATIVE_INFINITY;
  private blockedUntil = Number.NEGATIVE_INFINITY;

  /** `committers` tells how many instances share the bound on transactions a second. */
  constructor(
    private readonly table: TableService,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly settings: CommitSettings,
    private readonly committers: () => number,
  ) {
    super();
  }

  override write(write: RowWrite): Promise<RowResult> {
    if (this.disposed || this.isFull()) {
      const detail = 'shutting down, or too many rows wait';
      return Promise.resolve(failure({kind: 'unavailable', detail}));
    }
    return new Promise(resolve => {
      this.waiting.push({write, resolve});
      this.characters += textLength(write);
      this.schedule();
    });
  }

  dispose(): void {
    this.disposed = true;
    this.timer?.dispose();
    const detail = 'shutting down';
    settleAll(this.waiting, failure({kind: 'unavailable', detail}));
    this.waiting = [];
    this.characters = 0;
  }

  private isFull(): boolean {
    const {queueLimit, queueCharacters} = this.settings;
    return (
      this.waiting.length >= queueLimit || this.characters >= queueCharacters
    );
  }

  private schedule(): void {
    const idle = this.inFlight < this.settings.concurrency;
    if (this.timer !== undefined || !idle || this.waiting.length === 0) {
      return;
    }
    this.timer = this.clock.setTimer(this.delay(), () => {
      this.timer = undefined;
      void this.commit(this.takeBatch());
    });
  }

  private delay(): number {
    const now = this.clock.monotonicMilliseconds();
    const spaced = this.lastStartedAt + this.spacing() - now;
    const blocked = this.blockedUntil - now;
    return Math.max(this.settings.gatherMilliseconds, spaced, blocked);
  }

  private spacing(): number {
    const {transactionsPerSecond, spacingLimitMilliseconds} = this.settings;
    const shared = (this.committers() * 1000) / transactionsPerSecond;
    return Math.min(shared, spacingLimitMilliseconds);
  }

  /** Takes rows in order; a transaction names each key once. */
  private takeBatch(): readonly PendingRow[] {
    const batch: PendingRow[] = [];
    const left: PendingRow[] = [];
    const keys = new Set<string>();
    let characters = 0;
    for (const row of this.waiting) {
      const size = textLength(row.write);
      const fits =
        batch.length < this.settings.transactionRowLimit &&
        !keys.has(row.write.key) &&
        (batch.length === 0 ||
          characters + size <= this.settings.transactionCharacters);
      if (!fits) {
        left.push(row);
        continue;
      }
      batch.push(row);
      keys.add(row.write.key);
      characters += size;
    }
    this.waiting = left;
    this.characters -= characters;
    return batch;
  }

  private async commit(batch: readonly PendingRow[]): Promise<void> {
    this.inFlight++;
    this.lastStartedAt = this.clock.monotonicMilliseconds();
    this.metrics.count('claims.transactions', 1);
    this.metrics.count('claims.rows', batch.length);
    this.schedule();
    const result = await this.transact(batch.map(row => row.write));
    this.inFlight--;
    if (!result.ok && result.error.kind === 'rateLimited') {
      const now = this.clock.monotonicMilliseconds();
      this.blockedUntil = now + result.error.retryAfterMilliseconds;
    }
    settleAll(batch, result);
    this.schedule();
  }

  private async transact(
    writes: readonly RowWrite[],
  ): Promise<TransactionResult> {
    const source = new CancellationSource();
    const timer = this.clock.setTimer(this.settings.timeoutMilliseconds, () =>
      source.cancel('table timeout'),
    );
    try {
      return await this.table.transact(writes, 'each', source.token);
    } catch (error) {
      return failure({kind: 'outcomeUnknown', detail: String(error)});
    } finally {
      timer.dispose();
      source.dispose();
    }
  }
}

function settleAll(
  batch: readonly PendingRow[],
  result: TransactionResult,
): void {
  batch.forEach((row, index) => row.resolve(rowResult(result, index)));
}

function rowResult(result: TransactionResult, index: number): RowResult {
  if (!result.ok) {
    return result;
  }
  const outcome = result.value[index];
  return outcome === undefined
    ? failure({kind: 'outcomeUnknown', detail: 'row missing in the answer'})
    : success(outcome);
}
