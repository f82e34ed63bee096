import {Clock} from '../../../base/common/clock.js';
import {RandomSource} from '../../../base/common/randomSource.js';

/** Schedules this instance's reads of the platform's whole list. */

const MILLISECONDS_PER_SECOND = 1_000;
/** Multiplies the probability of a read after a failed one. */
const RETRY_RATE_FACTOR = 8;
/** Repair reads, which resolve a difference from peers, are at most this many times as frequent as other reads. */
const REPAIR_RATE_FACTOR = 8;

/** Limits on the frequency of list reads. */
export interface ListReadLimits {
  /** Interval between the reads of a single instance, and mean interval between the reads of all instances together. */
  readonly minIntervalMilliseconds: number;
  /** Read budget of one instance; exceeded only if the instances together would read too rarely. */
  readonly bytesPerSecond: number;
}

/**
 * Polled once per minimum interval. Due reads are drawn at random, so that instances that started together don't read
 * together and a change of the interval takes effect at once.
 */
export class ListReadScheduler {
  private listBytes = 0;
  private lastReadAt: number | undefined;
  private notBefore = -Infinity;
  private failed = false;
  private needsConfirmationRead = false;
  private needsRepairRead = false;

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly limits: ListReadLimits,
  ) {}

  /**
   * Mean interval between reads of this instance. It keeps to the byte budget unless all readers together would then
   * read less than once per minimum interval.
   */
  intervalMilliseconds(readerCount: number): number {
    const {minIntervalMilliseconds: shortestMilliseconds, bytesPerSecond} =
      this.limits;
    const budgetMilliseconds =
      (this.listBytes / bytesPerSecond) * MILLISECONDS_PER_SECOND;
    const sharedMilliseconds = readerCount * shortestMilliseconds;
    return Math.max(
      shortestMilliseconds,
      Math.min(budgetMilliseconds, sharedMilliseconds),
    );
  }

  /** Whether to read now; `readerCount` counts the instances that read the list and gossip, this one included. */
  isDue(readerCount: number): boolean {
    const now = this.clock.monotonicMilliseconds();
    if (now < this.notBefore) {
      return false;
    }
    if (this.lastReadAt === undefined || this.needsConfirmationRead) {
      return true;
    }
    const interval = this.intervalMilliseconds(readerCount);
    if (
      this.needsRepairRead &&
      now - this.lastReadAt > interval / REPAIR_RATE_FACTOR
    ) {
      return true;
    }
    const factor = this.failed ? RETRY_RATE_FACTOR : 1;
    const probability =
      (factor * this.limits.minIntervalMilliseconds) / interval;
    return this.random.next() < probability;
  }

  /** Records a successful read. A doubtful one is repeated in the next period, and by repair reads while in doubt. */
  recordRead(bytes: number, isDoubtful: boolean): void {
    this.listBytes = bytes;
    this.lastReadAt = this.clock.monotonicMilliseconds();
    this.failed = false;
    this.needsRepairRead = isDoubtful && this.needsConfirmationRead;
    this.needsConfirmationRead = isDoubtful && !this.needsConfirmationRead;
  }

  /** Records a failed read; `waitMilliseconds` is the retry delay that the platform requested, or 0. */
  recordFailure(waitMilliseconds: number): void {
    this.failed = true;
    this.notBefore = this.clock.monotonicMilliseconds() + waitMilliseconds;
  }

  /** Requests a read because the lists of peers differ in a way that gossip can't resolve. */
  requestRepairRead(): void {
    this.needsRepairRead = true;
  }
}
