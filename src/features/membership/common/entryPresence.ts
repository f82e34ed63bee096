import {Clock} from '../../../base/common/clock.js';
import {EntryAnnouncement} from './systemView.js';

/** An entry program that asked for nothing for so long counts as gone. */
const SILENCE_MILLISECONDS = 10_000;

/** What the control program knows of the entry program of its instance. */
export class EntryPresence {
  private announcement: EntryAnnouncement | undefined;
  private heardAt: number | undefined;

  constructor(private readonly clock: Clock) {}

  /** The running process; undefined until it announced itself. */
  get incarnation(): string | undefined {
    return this.announcement?.incarnation;
  }

  get leaving(): boolean {
    return this.announcement?.leaving === true;
  }

  /** Whether it announced itself and was heard of lately. */
  get isAlive(): boolean {
    const now = this.clock.monotonicMilliseconds();
    return (
      this.announcement !== undefined &&
      this.heardAt !== undefined &&
      now - this.heardAt <= SILENCE_MILLISECONDS
    );
  }

  /** It introduced itself. */
  announce(announcement: EntryAnnouncement): void {
    this.announcement = announcement;
    this.noteHeard();
  }

  /** It asked for something. */
  noteHeard(): void {
    this.heardAt = this.clock.monotonicMilliseconds();
  }
}
