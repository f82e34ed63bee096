import {Clock} from '../../../base/common/clock.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {RowCondition} from '../../../infrastructure/table/common/tableService.js';
import {
  bodyLength,
  ClaimRecord,
  claimRowKey,
  formatClaimRecord,
  parseClaimRecord,
} from './claimRecord.js';
import {ClaimSettings} from './claimSettings.js';
import {RowResult, RowWriter} from './rowWriter.js';

/** An outcome to be recorded. */
export interface OutcomeEntry {
  readonly keyHash: string;
  readonly record: ClaimRecord;
  /** The condition of the first write, from when the key was claimed. */
  readonly condition: RowCondition;
  /** Called once: true when the outcome is recorded, false when it was discarded. */
  readonly done: (recorded: boolean) => void;
}

interface BufferedEntry {
  readonly entry: OutcomeEntry;
  condition: RowCondition;
  /** Milliseconds. */
  backoff: number;
  timer: Disposable | undefined;
}

/** Records outcomes in claim rows. Retries during an outage; the buffer is bounded and drops the oldest outcomes. */
export class OutcomeRecorder implements Disposable {
  /** Entries by nonce, oldest first. */
  private readonly buffer = new Map<string, BufferedEntry>();
  private bufferedCharacters = 0;
  private dropped = 0;
  private waiters: Array<() => void> = [];

  constructor(
    private readonly writer: RowWriter,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly metrics: Metrics,
    private readonly settings: ClaimSettings,
  ) {}

  /** Number of buffered outcomes. */
  get size(): number {
    return this.buffer.size;
  }

  /** Resolves when the buffer is empty or the time has elapsed; used for a planned stop. */
  whenEmpty(milliseconds: number): Promise<void> {
    if (this.buffer.size === 0) {
      return Promise.resolve();
    }
    return new Promise(resolve => {
      const timer = this.clock.setTimer(milliseconds, resolve);
      this.waiters.push(() => {
        timer.dispose();
        resolve();
      });
    });
  }

  record(entry: OutcomeEntry): void {
    const buffered: BufferedEntry = {
      entry,
      condition: entry.condition,
      backoff: this.settings.recordBackoffMilliseconds,
      timer: undefined,
    };
    this.buffer.set(entry.record.nonce, buffered);
    this.bufferedCharacters += bodyLengthOf(entry);
    this.dropOldest();
    if (this.buffer.has(entry.record.nonce)) {
      void this.writeEntry(buffered);
    }
  }

  dispose(): void {
    for (const buffered of [...this.buffer.values()]) {
      this.remove(buffered, false);
    }
  }

  private async writeEntry(buffered: BufferedEntry): Promise<void> {
    const {keyHash, record} = buffered.entry;
    const result = await this.writer.write({
      key: claimRowKey(keyHash),
      value: formatClaimRecord(record),
      condition: buffered.condition,
    });
    if (this.buffer.get(record.nonce) !== buffered) {
      return;
    }
    this.handleResult(buffered, result);
  }

  private handleResult(buffered: BufferedEntry, result: RowResult): void {
    if (!result.ok) {
      this.retryLater(buffered);
      return;
    }
    if (result.value.kind === 'written') {
      this.remove(buffered, true);
      return;
    }
    const {current} = result.value;
    const existing = current && parseClaimRecord(current);
    const isOwnRow = existing?.nonce === buffered.entry.record.nonce;
    if (current === undefined || !isOwnRow) {
      // The row has expired or belongs to another attempt.
      this.remove(buffered, false);
      return;
    }
    if (existing.outcome !== undefined) {
      this.remove(buffered, true);
      return;
    }
    buffered.condition = {kind: 'version', version: current.version};
    void this.writeEntry(buffered);
  }

  private retryLater(buffered: BufferedEntry): void {
    buffered.timer = this.clock.setTimer(buffered.backoff, () => {
      buffered.timer = undefined;
      void this.writeEntry(buffered);
    });
    buffered.backoff = Math.min(
      buffered.backoff * 2,
      this.settings.recordBackoffLimitMilliseconds,
    );
  }

  private dropOldest(): void {
    const {outcomeBufferLimit, outcomeBufferCharacters} = this.settings;
    for (const buffered of this.buffer.values()) {
      const fits =
        this.buffer.size <= outcomeBufferLimit &&
        this.bufferedCharacters <= outcomeBufferCharacters;
      if (fits) {
        return;
      }
      this.dropped++;
      this.metrics.count('claims.outcomes_dropped', 1);
      this.logger.warn('outcome dropped: record buffer is full', {
        dropped: this.dropped,
      });
      this.remove(buffered, false);
    }
  }

  private remove(buffered: BufferedEntry, recorded: boolean): void {
    this.buffer.delete(buffered.entry.record.nonce);
    this.bufferedCharacters -= bodyLengthOf(buffered.entry);
    buffered.timer?.dispose();
    buffered.entry.done(recorded);
    if (this.buffer.size === 0) {
      this.waiters.forEach(wake => wake());
      this.waiters = [];
    }
  }
}

function bodyLengthOf(entry: OutcomeEntry): number {
  const {outcome} = entry.record;
  return outcome === undefined ? 0 : bodyLength(outcome);
}
