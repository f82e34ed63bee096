import {Clock} from '../../../base/common/clock.js';
import {TableRow} from '../../../infrastructure/table/common/tableService.js';
import {LeaseRecord, readLeaseRecord} from './leaseRecord.js';

/** A lease row as this process last read it. */
export interface ObservedLease {
  readonly version: number;
  readonly record: LeaseRecord;
  /** Monotonic milliseconds at which the first answer with this version arrived. */
  readonly since: number;
}

/** Whether a holder that wrote its row before a monotonic time is known to have ended and so can no longer act. */
export type HolderEndedCheck = (
  holder: string,
  writtenBefore: number,
) => boolean;

/** Observes a lease of other processes and determines when it may be acquired. */
export class LeaseObserver {
  private seen: ObservedLease | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly durationMilliseconds: number,
    private readonly hasEnded: HolderEndedCheck,
  ) {}

  /** The row as last read; undefined if there is none. */
  get observed(): ObservedLease | undefined {
    return this.seen;
  }

  /** Records a row that was just read. */
  recordRow(row: TableRow | undefined): void {
    const record = readLeaseRecord(row);
    if (row === undefined || record === undefined) {
      this.seen = undefined;
    } else if (row.version !== this.seen?.version) {
      const since = this.clock.monotonicMilliseconds();
      this.seen = {version: row.version, record, since};
    }
  }

  /** Whether there is no row, its holder released it or has ended, or it stayed unchanged for a whole duration. */
  get isAvailable(): boolean {
    const {seen} = this;
    if (seen === undefined || seen.record.released) {
      return true;
    }
    if (this.hasEnded(seen.record.holder, seen.since)) {
      return true;
    }
    const unchanged = this.clock.monotonicMilliseconds() - seen.since;
    return unchanged >= this.durationMilliseconds;
  }

  /** Discards earlier observations. */
  forget(): void {
    this.seen = undefined;
  }
}
