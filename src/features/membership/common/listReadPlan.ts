import {Clock} from '../../../base/common/clock.js';
import {RandomSource} from '../../../base/common/randomSource.js';

/** Decides when this instance reads the platform's whole list. */

const SECOND = 1_000;
/** After a failed read the chance is so many times as high. */
const RETRY_FACTOR = 8;
/** A read for a difference from peers is made so many times as often as others, at most. */
const REPAIR_FACTOR = 8;

/** What bounds the reading. */
export interface ListReadLimits {
  /** Between reads of an instance alone, and between any two reads of all instances on average. */
  readonly shortestMilliseconds: number;
  /** What one instance spends on reading as long as the reads of all are frequent enough. */
  readonly bytesPerSecond: number;
}

/**
 * Asked once in each shortest period; answers by chance, so that instances that started together
 * don't read together, and a change of the interval takes effect at once.
 */
export class ListReadPlan {
  private bytes = 0;
  private readAt: number | undefined;
  private notBefore = -Infinity;
  private failed = false;
  private confirmationWanted = false;
  private repairWanted = false;

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly limits: ListReadLimits,
  ) {}

  /** Mean milliseconds between reads here: as the budget allows, yet all sharers together read once in each shortest period. */
  intervalMilliseconds(sharers: number): number {
    const {shortestMilliseconds, bytesPerSecond} = this.limits;
    const affordable = (this.bytes / bytesPerSecond) * SECOND;
    const shared = sharers * shortestMilliseconds;
    return Math.max(shortestMilliseconds, Math.min(affordable, shared));
  }

  /** Whether to read now; `sharers` are the instances that read and tell each other, this one included. */
  isDue(sharers: number): boolean {
    const now = this.clock.monotonicMilliseconds();
    if (now < this.notBefore) {
      return false;
    }
    if (this.readAt === undefined || this.confirmationWanted) {
      return true;
    }
    const interval = this.intervalMilliseconds(sharers);
    if (this.repairWanted && now - this.readAt > interval / REPAIR_FACTOR) {
      return true;
    }
    const factor = this.failed ? RETRY_FACTOR : 1;
    const chance = (factor * this.limits.shortestMilliseconds) / interval;
    return this.random.next() < chance;
  }

  /** A read ended well; `isDoubtful` asks for another one in the next period, and for more when that is doubtful, too. */
  noteRead(bytes: number, isDoubtful: boolean): void {
    this.bytes = bytes;
    this.readAt = this.clock.monotonicMilliseconds();
    this.failed = false;
    this.repairWanted = isDoubtful && this.confirmationWanted;
    this.confirmationWanted = isDoubtful && !this.confirmationWanted;
  }

  /** A read failed; the platform may have said for how long not to come back. */
  noteFailed(waitMilliseconds: number): void {
    this.failed = true;
    this.notBefore = this.clock.monotonicMilliseconds() + waitMilliseconds;
  }

  /** Peers differ from here in something that they can't tell. */
  wantRepair(): void {
    this.repairWanted = true;
  }
}
