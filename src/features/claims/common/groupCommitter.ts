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
import {RowResult, RowWriter, valueLength} from './rowWriter.js';

/** Group commit of claim rows. Row conditions are checked independently, so unrelated rows can share a transaction. */

interface PendingRow {
  readonly write: RowWrite;
  readonly resolve: (result: RowResult) => void;
}

type TransactionResult = Result<readonly WriteOutcome[], StorageError>;

/** Batches rows for a few milliseconds into one transaction, and limits the rate of transactions. */
export class GroupCommitter extends RowWriter implements Disposable {
  private queue: PendingRow[] = [];
  /** Total length of queued row values. */
  private queuedCharacters = 0;
  private inFlight = 0;
  private timer: Disposable | undefined;
  private isDisposed = false;
  private lastStartedAt = Number.NEGATIVE_INFINITY;
  private blockedUntil = Number.NEGATIVE_INFINITY;

  /** `countCommitters` returns the number of instances that share the limit of transactions per second. */
  constructor(
    private readonly table: TableService,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly settings: CommitSettings,
    private readonly countCommitters: () => number,
  ) {
    super();
  }

  override write(write: RowWrite): Promise<RowResult> {
    if (this.isDisposed || this.isFull()) {
      const detail = 'shutting down, or too many rows wait';
      return Promise.resolve(failure({kind: 'unavailable', detail}));
    }
    return new Promise(resolve => {
      this.queue.push({write, resolve});
      this.queuedCharacters += valueLength(write);
      this.schedule();
    });
  }

  dispose(): void {
    this.isDisposed = true;
    this.timer?.dispose();
    const detail = 'shutting down';
    resolveAll(this.queue, failure({kind: 'unavailable', detail}));
    this.queue = [];
    this.queuedCharacters = 0;
  }

  private isFull(): boolean {
    const {queueLimit, queueCharacters} = this.settings;
    return (
      this.queue.length >= queueLimit ||
      this.queuedCharacters >= queueCharacters
    );
  }

  private schedule(): void {
    const hasCapacity = this.inFlight < this.settings.concurrency;
    if (this.timer !== undefined || !hasCapacity || this.queue.length === 0) {
      return;
    }
    this.timer = this.clock.setTimer(this.nextDelayMilliseconds(), () => {
      this.timer = undefined;
      void this.commit(this.takeBatch());
    });
  }

  private nextDelayMilliseconds(): number {
    const now = this.clock.monotonicMilliseconds();
    const untilSpaced = this.lastStartedAt + this.spacingMilliseconds() - now;
    const untilUnblocked = this.blockedUntil - now;
    return Math.max(
      this.settings.gatherMilliseconds,
      untilSpaced,
      untilUnblocked,
    );
  }

  private spacingMilliseconds(): number {
    const {transactionsPerSecond, spacingLimitMilliseconds} = this.settings;
    const interval = (this.countCommitters() * 1000) / transactionsPerSecond;
    return Math.min(interval, spacingLimitMilliseconds);
  }

  /** Removes a batch from the queue, in order; a transaction contains each key only once. */
  private takeBatch(): readonly PendingRow[] {
    const batch: PendingRow[] = [];
    const remaining: PendingRow[] = [];
    const keys = new Set<string>();
    let characters = 0;
    for (const row of this.queue) {
      const size = valueLength(row.write);
      const fits =
        batch.length < this.settings.transactionRowLimit &&
        !keys.has(row.write.key) &&
        (batch.length === 0 ||
          characters + size <= this.settings.transactionCharacters);
      if (!fits) {
        remaining.push(row);
        continue;
      }
      batch.push(row);
      keys.add(row.write.key);
      characters += size;
    }
    this.queue = remaining;
    this.queuedCharacters -= characters;
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
    resolveAll(batch, result);
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

function resolveAll(
  batch: readonly PendingRow[],
  result: TransactionResult,
): void {
  batch.forEach((row, index) => row.resolve(toRowResult(result, index)));
}

function toRowResult(result: TransactionResult, index: number): RowResult {
  if (!result.ok) {
    return result;
  }
  const outcome = result.value[index];
  return outcome === undefined
    ? failure({kind: 'outcomeUnknown', detail: 'row missing in the answer'})
    : success(outcome);
}
