import {Clock} from '../../../base/common/clock.js';
import {EventLoop} from '../../../base/common/eventLoop.js';

/** The event loop is on time if all that arrived until this long ago is known to be read; it looks ten times a second. */
const ON_TIME_MILLISECONDS = 160;

/** Whether what is read now may have waited for long. */
export function isLoopLate(clock: Clock, eventLoop: EventLoop): boolean {
  const now = clock.monotonicMilliseconds();
  return now - eventLoop.readUntil > ON_TIME_MILLISECONDS;
}

/**
 * Decides when requests that were just read are handled: at once, or, after the event loop was late, one by one and the newest first, each
 * after the loop has read which callers have left. So the time that the process has goes to callers who still wait.
 */
export class ArrivalQueue {
  /** Callbacks that let a request go on, the newest last. */
  private readonly waiting: Array<() => void> = [];
  private isReleasing = false;

  constructor(
    private readonly clock: Clock,
    private readonly eventLoop: EventLoop,
  ) {}

  /** Monotonic milliseconds at which a request that was read at a time arrived at the earliest. */
  earliestArrival(readAt: number): number {
    return isLoopLate(this.clock, this.eventLoop)
      ? Math.min(readAt, this.eventLoop.readUntil)
      : readAt;
  }

  /** Resolves when it is the turn of a request; undefined if it is now. */
  turn(mayHaveWaited: boolean): Promise<void> | undefined {
    if (!mayHaveWaited && !this.isReleasing) {
      return undefined;
    }
    return new Promise(resolve => {
      this.waiting.push(resolve);
      if (!this.isReleasing) {
        this.isReleasing = true;
        void this.release();
      }
    });
  }

  private async release(): Promise<void> {
    while (this.waiting.length > 0) {
      await this.eventLoop.readAll();
      this.waiting.pop()?.();
    }
    this.isReleasing = false;
  }
}
