import {Clock} from '../../../base/common/clock.js';
import {EntryAnnouncement} from './systemView.js';

/** An entry program that made no call for this long is considered gone. */
const CONTACT_TIMEOUT_MILLISECONDS = 10_000;

/** Tracks the entry program of the instance, as seen by the control program. */
export class EntryPresence {
  private announcement: EntryAnnouncement | undefined;
  private lastContactAt: number | undefined;

  constructor(private readonly clock: Clock) {}

  /** Identifies the running process; undefined until it announced itself. */
  get incarnation(): string | undefined {
    return this.announcement?.incarnation;
  }

  get leaving(): boolean {
    return this.announcement?.leaving === true;
  }

  /** Whether the entry program announced itself and made a call within the time-out. */
  get isAlive(): boolean {
    const now = this.clock.monotonicMilliseconds();
    return (
      this.announcement !== undefined &&
      this.lastContactAt !== undefined &&
      now - this.lastContactAt <= CONTACT_TIMEOUT_MILLISECONDS
    );
  }

  /** Handles an announcement, which also counts as contact. */
  announce(announcement: EntryAnnouncement): void {
    this.announcement = announcement;
    this.recordContact();
  }

  /** Records a call by the entry program. */
  recordContact(): void {
    this.lastContactAt = this.clock.monotonicMilliseconds();
  }
}
