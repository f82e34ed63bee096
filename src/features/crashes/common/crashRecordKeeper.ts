import {CancellationSource} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {Event} from '../../../base/common/event.js';
import {DisposableOwner, toDisposable} from '../../../base/common/lifecycle.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {ClockedTableService} from '../../../infrastructure/table/common/clockedTableService.js';
import {TableRow} from '../../../infrastructure/table/common/tableService.js';
import {
  CrashRecord,
  EMPTY_RECORD,
  hasNoCrash,
  shiftRecord,
} from './crashRecord.js';
import {formatRecordRow, parseRecordRow} from './crashRecordRow.js';
import {mergeRecords} from './mergeCrashRecords.js';
import {PlatformTime} from './platformTime.js';
import {PromptGuard} from './promptGuard.js';

/** Key of the row that holds the record of crashes. */
export const CRASH_RECORD_KEY = 'crashes';

/** Time by which each instance waits longer than the one before it in rank, so that the row is there when gossip takes less. */
const RANK_DELAY_MILLISECONDS = 1_000;

/** Least time between two synchronizations of one instance, which bounds the calls however many upstreams crash. */
const PERIOD_MILLISECONDS = 1_000;

/** Delay after the first failed call; each further one doubles it. */
const FIRST_RETRY_MILLISECONDS = 1_000;
const MAX_RETRY_MILLISECONDS = 16_000;

/** Period at which the first in rank reads the row while it holds crashes, since operators may have it forgotten. */
const READ_PERIOD_MILLISECONDS = 15_000;

/** Writes in one synchronization; each conflict brings the row that another instance wrote meanwhile. */
const WRITE_LIMIT = 3;

/** What instances tell each other of the row. */
export interface CrashRecordNews {
  /** Version of the row in the table. */
  readonly version: number;
  /** In a response to a peer that knows an older version; undefined if it is of a format that the receiver doesn't know. */
  readonly content?: CrashRecordContent | undefined;
}

/** What the row holds. */
export interface CrashRecordContent {
  readonly record: CrashRecord;
  /** The platform's clock as the sender knows it. */
  readonly clockMilliseconds: number;
}

/** Keeps what is known of crashes in a row of the platform, from which an instance that starts learns it. */
export class CrashRecordKeeper extends DisposableOwner {
  private readonly source = new CancellationSource();
  private readonly time: PlatformTime;
  private record = EMPTY_RECORD;
  private version = 0;
  /** Whether a later release has written the row, which then isn't overwritten. */
  private isNewerFormat = false;
  /** Whether the row is to be read, whatever is known of it. */
  private mustRead = false;
  private isRunning = false;
  private failureCount = 0;
  private ranAt = -Infinity;
  private readAt = -Infinity;
  private dueAt = Infinity;
  private timer = toDisposable(() => undefined);

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly table: ClockedTableService,
    private readonly guard: PromptGuard,
    /** Place of this instance among those that serve; 0 for the first one. */
    private readonly rank: () => number,
    onDidRecoverTable: Event<void>,
  ) {
    super();
    this.time = new PlatformTime(clock);
    this.register(guard.onDidChange(() => this.scheduleByRank()));
    this.register(guard.onDidTry(() => this.schedule(0)));
    this.register(onDidRecoverTable(() => this.resume()));
    this.register(
      toDisposable(() => {
        this.timer.dispose();
        this.source.cancel('stopped');
      }),
    );
  }

  /** Reads the row. */
  start(): void {
    this.mustRead = true;
    this.schedule(0);
  }

  /** What a message to a peer tells; undefined while there is no row. */
  createNews(): CrashRecordNews | undefined {
    const {version} = this;
    return version === 0 ? undefined : {version};
  }

  /** The response to a message of a peer, with the record if the peer knows an older version. */
  createResponse(
    received: CrashRecordNews | undefined,
  ): CrashRecordNews | undefined {
    const {record, version} = this;
    const clockMilliseconds = this.time.now;
    const isNewer = version > (received?.version ?? 0);
    return isNewer && clockMilliseconds !== undefined
      ? {version, content: {record, clockMilliseconds}}
      : this.createNews();
  }

  /** Applies what a peer tells. */
  applyNews({version, content}: CrashRecordNews): void {
    if (content === undefined || version <= this.version) {
      return;
    }
    this.time.observe(content.clockMilliseconds);
    this.mustRead = false;
    this.learn(version, content.record);
    this.logger.decision('crashRecordLearned', {
      version,
      ...sizes(content.record),
    });
    this.scheduleByRank();
  }

  private scheduleByRank(): void {
    this.schedule(this.delay);
  }

  /** Time for which others may write first; none before this instance has read the row. */
  private get delay(): number {
    return this.mustRead ? 0 : this.rank() * RANK_DELAY_MILLISECONDS;
  }

  /** Tries again by rank after an outage of the table. */
  private resume(): void {
    if (this.failureCount > 0) {
      this.failureCount = 0;
      this.scheduleByRank();
    }
  }

  /** Synchronizes after a delay, unless that is due sooner. */
  private schedule(milliseconds: number): void {
    const now = this.now();
    const dueAt = Math.max(
      now + milliseconds,
      this.ranAt + PERIOD_MILLISECONDS,
    );
    if (this.isDisposed || dueAt >= this.dueAt) {
      return;
    }
    this.dueAt = dueAt;
    this.timer.dispose();
    this.timer = this.clock.setTimer(dueAt - now, () => void this.run());
  }

  private async run(): Promise<void> {
    this.dueAt = Infinity;
    if (this.isRunning) {
      this.schedule(PERIOD_MILLISECONDS);
      return;
    }
    this.isRunning = true;
    this.ranAt = this.now();
    try {
      const isDone = !this.isCallDue || (await this.synchronize());
      this.failureCount = isDone ? 0 : this.failureCount + 1;
    } finally {
      this.isRunning = false;
    }
    this.scheduleNext();
  }

  private scheduleNext(): void {
    this.record = this.current(this.record);
    if (this.failureCount > 0) {
      const retryDelay = Math.min(
        FIRST_RETRY_MILLISECONDS * 2 ** (this.failureCount - 1),
        MAX_RETRY_MILLISECONDS,
      );
      this.schedule(this.delay + retryDelay);
    } else if (!hasNoCrash(this.record)) {
      this.schedule(READ_PERIOD_MILLISECONDS);
    }
  }

  private get isCallDue(): boolean {
    const isReadDue =
      this.rank() === 0 &&
      !hasNoCrash(this.record) &&
      this.now() - this.readAt >= READ_PERIOD_MILLISECONDS;
    return this.mustRead || isReadDue || this.findChange() !== undefined;
  }

  /** Reads the row, and writes what it lacks; resolves with whether that was confirmed. */
  private async synchronize(): Promise<boolean> {
    const read = await this.table.readWithClock(
      CRASH_RECORD_KEY,
      this.source.token,
    );
    if (!read.ok) {
      this.logger.warn('crash record not read', {...read.error});
      return false;
    }
    const {row, clockMilliseconds} = read.value;
    this.readAt = this.now();
    this.time.observe(clockMilliseconds);
    const isFirstRead = this.mustRead;
    this.mustRead = false;
    this.applyRow(row);
    if (isFirstRead && this.delay > 0) {
      // After an outage all instances read at once; those that come first in rank write.
      this.scheduleByRank();
      return true;
    }
    return this.writeChanges();
  }

  private async writeChanges(): Promise<boolean> {
    for (let count = 0; count < WRITE_LIMIT; count++) {
      const changed = this.findChange();
      if (changed === undefined) {
        return true;
      }
      const {version} = this;
      const write = {
        key: CRASH_RECORD_KEY,
        value: formatRecordRow(changed),
        condition:
          version === 0
            ? ({kind: 'absent'} as const)
            : ({kind: 'version', version} as const),
      };
      const written = await this.table.transact(
        [write],
        'all',
        this.source.token,
      );
      if (!written.ok) {
        this.logger.warn('crash record write not confirmed', {
          version,
          ...written.error,
        });
        return false;
      }
      const [outcome] = written.value;
      if (outcome?.kind === 'written') {
        this.learn(outcome.version, changed);
        const fields = {before: version, version: outcome.version};
        this.logger.decision('crashRecordWritten', {
          ...fields,
          ...sizes(changed),
        });
        return true;
      }
      this.applyRow(outcome?.current);
    }
    return false;
  }

  /** The record with what only this instance knows; undefined if there is nothing to add. */
  private findChange(): CrashRecord | undefined {
    const {aheadMilliseconds, now} = this.time;
    if (
      aheadMilliseconds === undefined ||
      now === undefined ||
      this.isNewerFormat
    ) {
      return undefined;
    }
    const own = shiftRecord(this.guard.createRecord(), aheadMilliseconds);
    const known = this.current(this.record);
    const merged = mergeRecords(this.record, own, now);
    return formatRecordRow(merged) === formatRecordRow(known)
      ? undefined
      : mergeRecords(this.record, own, now, true);
  }

  private applyRow(row: TableRow | undefined): void {
    if (row === undefined) {
      this.version = 0;
      this.record = EMPTY_RECORD;
      return;
    }
    const {version} = row;
    const parsed = parseRecordRow(row.value);
    switch (parsed.kind) {
      case 'record':
        if (version !== this.version) {
          const counts = sizes(parsed.record);
          this.logger.decision('crashRecordRead', {version, ...counts});
          this.learn(version, parsed.record);
        }
        this.isNewerFormat = false;
        return;
      case 'newerFormat':
        this.logger.warn('crash record of a later release left alone', {
          version,
          format: parsed.format,
        });
        this.isNewerFormat = true;
        return;
      case 'malformed':
        this.logger.error(
          'crash record malformed; replaced at the next write',
          {
            version,
            field: parsed.field,
          },
        );
        this.isNewerFormat = false;
        this.version = version;
        this.record = EMPTY_RECORD;
    }
  }

  private learn(version: number, record: CrashRecord): void {
    this.version = version;
    this.record = this.current(record);
    const ahead = this.time.aheadMilliseconds;
    if (ahead !== undefined) {
      this.guard.applyRecord(shiftRecord(this.record, -ahead));
    }
  }

  /** A record without what has become too old, and without times that no instance can have written. */
  private current(record: CrashRecord): CrashRecord {
    const {now} = this.time;
    return now === undefined ? record : mergeRecords(record, EMPTY_RECORD, now);
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}

/** The size of a record, for the log. */
function sizes({early, late, lateShared, forgottenUntil}: CrashRecord) {
  return {
    crashes: early.crashes.length,
    lateCrashes: late.crashes.length,
    lateSharedCrashes: lateShared.crashes.length,
    forgottenUntil,
  };
}
