import {Clock} from '../../src/base/common/clock.js';
import {Disposable, toDisposable} from '../../src/base/common/lifecycle.js';

interface PendingTimer {
  readonly dueAt: number;
  readonly sequence: number;
  readonly callback: () => void;
}

/** A clock that moves only when told to; timers run in order of their due time. */
export class FakeClock extends Clock {
  private readonly timers = new Set<PendingTimer>();
  private now = 0;
  private sequence = 0;

  constructor(private wallOffset = 1_700_000_000_000) {
    super();
  }

  override monotonicMilliseconds(): number {
    return this.now;
  }

  override wallMilliseconds(): number {
    return this.wallOffset + this.now;
  }

  override setTimer(milliseconds: number, callback: () => void): Disposable {
    this.sequence++;
    const timer: PendingTimer = {
      dueAt: this.now + Math.max(0, milliseconds),
      sequence: this.sequence,
      callback,
    };
    this.timers.add(timer);
    return toDisposable(() => this.timers.delete(timer));
  }

  /** Timers that wait. */
  get pendingTimers(): number {
    return this.timers.size;
  }

  /** Moves the wall clock alone, as an operator or a time service would. */
  shiftWall(milliseconds: number): void {
    this.wallOffset += milliseconds;
  }

  /** Moves time on; promises between timers are not awaited. */
  advance(milliseconds: number): void {
    const end = this.now + milliseconds;
    while (this.runNext(end)) {
      // Each pass runs one timer.
    }
    this.now = end;
  }

  /** Moves time on and lets promise callbacks run after each timer. */
  async advanceAsync(milliseconds: number): Promise<void> {
    const end = this.now + milliseconds;
    await settle();
    while (this.runNext(end)) {
      await settle();
    }
    this.now = end;
    await settle();
  }

  /** Makes the process look paused: time passes and all due timers run only afterwards. */
  pause(milliseconds: number): void {
    this.now += milliseconds;
    this.advance(0);
  }

  private runNext(end: number): boolean {
    const timer = this.earliest();
    if (timer === undefined || timer.dueAt > end) {
      return false;
    }
    this.timers.delete(timer);
    this.now = Math.max(this.now, timer.dueAt);
    timer.callback();
    return true;
  }

  private earliest(): PendingTimer | undefined {
    let found: PendingTimer | undefined;
    for (const timer of this.timers) {
      if (found === undefined || isBefore(timer, found)) {
        found = timer;
      }
    }
    return found;
  }
}

function isBefore(left: PendingTimer, right: PendingTimer): boolean {
  if (left.dueAt !== right.dueAt) {
    return left.dueAt < right.dueAt;
  }
  return left.sequence < right.sequence;
}

/** Lets promise callbacks and immediates that are ready run. */
export function settle(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
