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

/** One outcome to record. */
export interface OutcomeEntry {
  readonly keyHash: string;
  readonly record: ClaimRecord;
  /** What held of the row when it was claimed. */
  readonly condition: RowCondition;
  /** Called once: true when the outcome stands in the table, false when it was given up. */
  readonly done: (recorded: boolean) => void;
}

interface BufferedEntry {
  readonly entry: OutcomeEntry;
  condition: RowCondition;
  backoff: number;
  timer: Disposable | undefined;
}

/** Records outcomes in claim rows, again and again through an outage, with a bounded buffer. */
export class OutcomeRecorder implements Disposable {
  /** By nonce, oldest first. */
  private readonly buffer = new Map<string, BufferedEntry>();
  private characters = 0;
  private dropped = 0;
  private waiters: Array<() => void> = [];

  constructor(
    private readonly writer: RowWriter,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly metrics: Metrics,
    private readonly settings: ClaimSettings,
  ) {}

  /** Outcomes that wait. */
  get size(): number {
    return this.buffer.size;
  }

  /** Resolves when nothing waits, or after a time; for a planned stop. */
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
    this.characters += lengthOf(entry);
    this.shrink();
    if (this.buffer.has(entry.record.nonce)) {
      void this.attempt(buffered);
    }
  }

  dispose(): void {
    for (const buffered of [...this.buffer.values()]) {
      this.remove(buffered, false);
    }
  }

  private async attempt(buffered: BufferedEntry): Promise<void> {
    const {keyHash, record} = buffered.entry;
    const result = await this.writer.write({
      key: claimRowKey(keyHash),
      value: formatClaimRecord(record),
      condition: buffered.condition,
    });
    if (this.buffer.get(record.nonce) !== buffered) {
      return;
    }
    this.settle(buffered, result);
  }

  private settle(buffered: BufferedEntry, result: RowResult): void {
    if (!result.ok) {
      this.retryLater(buffered);
      return;
    }
    if (result.value.kind === 'written') {
      this.remove(buffered, true);
      return;
    }
    const {current} = result.value;
    const found = current && parseClaimRecord(current);
    const ours = found?.nonce === buffered.entry.record.nonce;
    if (current === undefined || !ours) {
      // Deleted by age, or held by another attempt.
      this.remove(buffered, false);
      return;
    }
    if (found.outcome !== undefined) {
      this.remove(buffered, true);
      return;
    }
    buffered.condition = {kind: 'version', version: current.version};
    void this.attempt(buffered);
  }

  private retryLater(buffered: BufferedEntry): void {
    buffered.timer = this.clock.setTimer(buffered.backoff, () => {
      buffered.timer = undefined;
      void this.attempt(buffered);
    });
    buffered.backoff = Math.min(
      buffered.backoff * 2,
      this.settings.recordBackoffLimitMilliseconds,
    );
  }

  private shrink(): void {
    const {outcomeBufferLimit, outcomeBufferCharacters} = this.settings;
    for (const buffered of this.buffer.values()) {
      const fits =
        this.buffer.size <= outcomeBufferLimit &&
        this.characters <= outcomeBufferCharacters;
      if (fits) {
        return;
      }
      this.dropped++;
      this.metrics.count('claims.outcomes_dropped', 1);
      this.logger.warn('outcome dropped: too many wait to be recorded', {
        dropped: this.dropped,
      });
      this.remove(buffered, false);
    }
  }

  private remove(buffered: BufferedEntry, recorded: boolean): void {
    this.buffer.delete(buffered.entry.record.nonce);
    this.characters -= lengthOf(buffered.entry);
    buffered.timer?.dispose();
    buffered.entry.done(recorded);
    if (this.buffer.size === 0) {
      this.waiters.forEach(wake => wake());
      this.waiters = [];
    }
  }
}

function lengthOf(entry: OutcomeEntry): number {
  const {outcome} = entry.record;
  return outcome === undefined ? 0 : bodyLength(outcome);
}
