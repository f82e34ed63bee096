import {Clock} from '../../../base/common/clock.js';
import {TableRow} from '../../../infrastructure/table/common/tableService.js';
import {LeaseRecord, readLeaseRecord} from './leaseRecord.js';

/** A row as it was seen. */
export interface ObservedLease {
  readonly version: number;
  readonly record: LeaseRecord;
  /** Monotonic milliseconds at which the version was first seen, after the answer. */
  readonly since: number;
}

/** Whether a holder that wrote its row before a monotonic time has surely ended, so that it can't act any more. */
export type HolderCheck = (holder: string, writtenBefore: number) => boolean;

/** Watches a lease of others and knows when it may be taken. */
export class LeaseObserver {
  private seen: ObservedLease | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly durationMilliseconds: number,
    private readonly hasEnded: HolderCheck,
  ) {}

  /** The row as it was seen last; undefined when there is none. */
  get observed(): ObservedLease | undefined {
    return this.seen;
  }

  /** Takes a row that was just read. */
  note(row: TableRow | undefined): void {
    const record = readLeaseRecord(row);
    if (row === undefined || record === undefined) {
      this.seen = undefined;
    } else if (row.version !== this.seen?.version) {
      const since = this.clock.monotonicMilliseconds();
      this.seen = {version: row.version, record, since};
    }
  }

  /** Whether there is no row, its holder gave it up or has ended, or it stayed the same for a whole duration. */
  get isTakeable(): boolean {
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

  /** Begins anew: what was seen before counts for nothing. */
  forget(): void {
    this.seen = undefined;
  }
}
