import {Clock} from '../../../base/common/clock.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {rendezvousScore} from '../../../base/common/rendezvous.js';

/** Schedules this instance's reads of the platform's whole list. */

const MILLISECONDS_PER_SECOND = 1_000;
/** Reads that follow a failed one are this many times as frequent as others. */
const RETRY_RATE_FACTOR = 8;
/** Repair reads, which resolve a difference from peers, are at most this many times as frequent as other reads. */
const REPAIR_RATE_FACTOR = 8;
/** Part of a turn that passes before it is polled; more than the jitter of a polling task. */
const POLL_OFFSET_SHARE = 0.25;
/** Turns before the current one that a delayed poll makes up for. */
const MAX_MISSED_TURNS = 2;
/** Number of possible rendezvous scores. */
const SCORE_RANGE = 2 ** 32;

/** Limits on the frequency of list reads. */
export interface ListReadLimits {
  /** Interval between the reads of a single instance, and mean interval between the reads of all instances together. */
  readonly minIntervalMilliseconds: number;
  /** Read budget of one instance; exceeded only if the instances together would read too rarely. */
  readonly bytesPerSecond: number;
}

/**
 * Decides when this instance reads. Time is divided into turns of the minimum interval by the wall clock. For each turn,
 * rendezvous hashing of the reader ids selects who reads, so that the reads of all instances follow each other at nearly
 * equal intervals without a message between them. Where clocks or known readers differ, some turns have no reader or
 * several.
 */
export class ListReadScheduler {
  private listBytes = 0;
  private lastReadAt: number | undefined;
  private polledTurn: number | undefined;
  private notBefore = -Infinity;
  private failed = false;
  private needsConfirmationRead = false;
  private needsRepairRead = false;

  constructor(
    private readonly ownId: string,
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

  /** Time until the next poll: early in the next turn, so that jitter moves no poll into another turn. */
  millisecondsUntilNextPoll(): number {
    const {minIntervalMilliseconds} = this.limits;
    const elapsed = this.clock.wallMilliseconds() % minIntervalMilliseconds;
    return minIntervalMilliseconds * (1 + POLL_OFFSET_SHARE) - elapsed;
  }

  /**
   * Whether to read now; polled once per turn.
   *
   * @param readers ids of the instances that read the list and gossip, this one included.
   */
  isDue(readers: readonly string[]): boolean {
    const now = this.clock.monotonicMilliseconds();
    if (now < this.notBefore) {
      return false;
    }
    const turns = this.takeUnpolledTurns();
    if (this.lastReadAt === undefined || this.needsConfirmationRead) {
      return true;
    }
    const interval = this.intervalMilliseconds(readers.length);
    if (
      this.needsRepairRead &&
      now - this.lastReadAt > interval / REPAIR_RATE_FACTOR
    ) {
      return true;
    }
    const readsPerTurn = this.limits.minIntervalMilliseconds / interval;
    if (this.failed && this.random.next() < RETRY_RATE_FACTOR * readsPerTurn) {
      return true;
    }
    const readerCountPerTurn = readers.length * readsPerTurn;
    return turns.some(turn =>
      this.readsInTurn(turn, readers, readerCountPerTurn),
    );
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
  /** Returns the turns that have begun since the previous poll; only the latest ones after a long time. */
  private takeUnpolledTurns(): readonly number[] {
    const turn = Math.floor(
      this.clock.wallMilliseconds() / this.limits.minIntervalMilliseconds,
    );
    const polled = this.polledTurn ?? turn - 1;
    this.polledTurn = turn;
    // The wall clock may have been set back.
    const first = polled > turn ? turn : polled + 1;
    const earliest = Math.max(first, turn - MAX_MISSED_TURNS);
    return Array.from(
      {length: turn - earliest + 1},
      (_, index) => earliest + index,
    );
  }

  /** Whether this instance is among the readers of a turn. All instances with the same readers agree on them. */
  private readsInTurn(
    turn: number,
    readers: readonly string[],
    readerCountPerTurn: number,
  ): boolean {
    const key = String(turn);
    const ownScore = rendezvousScore(key, this.ownId);
    // Rounds the number of readers up or down, the same at all instances, so that its mean is exact.
    let rank = rendezvousScore(key, '') / SCORE_RANGE;
    for (const id of readers) {
      if (rank >= readerCountPerTurn) {
        return false;
      }
      if (id !== this.ownId && rendezvousScore(key, id) > ownScore) {
        rank++;
      }
    }
    return rank < readerCountPerTurn;
  }
}
