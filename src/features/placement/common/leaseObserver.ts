import {Clock} from '../../../base/common/clock.js';
import {TableRow} from '../../../infrastructure/table/common/tableService.js';
import {LeaseRecord, readLeaseRecord} from './leaseRecord.js';

/** A lease row as this process last read it. */
export interface ObservedLease {
  readonly version: number;
  readonly record: LeaseRecord;
  /** Monotonic milliseconds at which the first response with this version arrived. */
  readonly since: number;
}

/** Whether a holder that wrote its row before a monotonic time is known to have ended and so can no longer act. */
export type HolderEndedCheck = (
  holder: string,
  writtenBefore: number,
) => boolean;

/** Observes a lease of other processes and determines when it may be acquired. */
export class LeaseObserver {
  private lastObserved: ObservedLease | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly durationMilliseconds: number,
    private readonly hasEnded: HolderEndedCheck,
  ) {}

  /** The row as last read; undefined if there is none. */
  get observed(): ObservedLease | undefined {
    return this.lastObserved;
  }

  /** Records a row that was just read. */
  recordRow(row: TableRow | undefined): void {
    const record = readLeaseRecord(row);
    if (row === undefined || record === undefined) {
      this.lastObserved = undefined;
    } else if (row.version !== this.lastObserved?.version) {
      const since = this.clock.monotonicMilliseconds();
      this.lastObserved = {version: row.version, record, since};
    }
  }

  /** Whether there is no row, its holder released it or has ended, or it stayed unchanged for a whole duration. */
  get isAvailable(): boolean {
    const {lastObserved} = this;
    if (lastObserved === undefined || lastObserved.record.released) {
      return true;
    }
    if (this.hasEnded(lastObserved.record.holder, lastObserved.since)) {
      return true;
    }
    const unchanged = this.clock.monotonicMilliseconds() - lastObserved.since;
    return unchanged >= this.durationMilliseconds;
  }

  /** Discards earlier observations. */
  forget(): void {
    this.lastObserved = undefined;
  }
}
