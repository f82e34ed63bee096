import {Clock} from '../../src/base/common/clock.js';
import {Disposable, toDisposable} from '../../src/base/common/lifecycle.js';

interface PendingTimer {
  readonly dueAt: number;
  readonly sequence: number;
  readonly callback: () => void;
}

/** A clock that advances only on request and runs timers in order of due time. */
export class FakeClock extends Clock {
  private readonly timers = new Set<PendingTimer>();
  private now = 0;
  private sequence = 0;
  private suspended = 0;

  constructor(private wallOffset = 1_700_000_000_000) {
    super();
  }

  override monotonicMilliseconds(): number {
    return this.now;
  }

  override wallMilliseconds(): number {
    return this.wallOffset + this.now;
  }

  override suspendedMilliseconds(): number {
    return this.suspended;
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

  override setResponseTimer(
    milliseconds: number,
    callback: () => void,
  ): Disposable {
    return this.setTimer(milliseconds, callback);
  }

  /** Number of timers that have not run yet. */
  get pendingTimerCount(): number {
    return this.timers.size;
  }

  /** Shifts the wall clock but not the monotonic clock, as a manual or NTP adjustment does. */
  shiftWallClock(milliseconds: number): void {
    this.wallOffset += milliseconds;
  }

  /** Simulates a suspended machine: time passes that the monotonic clock doesn't count, and no timer gets nearer. */
  suspend(milliseconds: number): void {
    this.wallOffset += milliseconds;
    this.suspended += milliseconds;
  }

  /** Advances time and runs due timers without yielding to promise callbacks between them. */
  advance(milliseconds: number): void {
    const end = this.now + milliseconds;
    while (this.runNextTimer(end)) {
      // Each iteration runs one timer.
    }
    this.now = end;
  }

  /** Advances time and lets promise callbacks run after each timer. */
  async advanceAsync(milliseconds: number): Promise<void> {
    const end = this.now + milliseconds;
    await runPendingCallbacks();
    while (this.runNextTimer(end)) {
      await runPendingCallbacks();
    }
    this.now = end;
    await runPendingCallbacks();
  }

  /** Simulates a suspended process: time passes first, and all due timers run late, at the end. */
  pause(milliseconds: number): void {
    this.now += milliseconds;
    this.advance(0);
  }

  private runNextTimer(end: number): boolean {
    const timer = this.earliestTimer();
    if (timer === undefined || timer.dueAt > end) {
      return false;
    }
    this.timers.delete(timer);
    this.now = Math.max(this.now, timer.dueAt);
    timer.callback();
    return true;
  }

  private earliestTimer(): PendingTimer | undefined {
    let found: PendingTimer | undefined;
    for (const timer of this.timers) {
      if (found === undefined || isDueBefore(timer, found)) {
        found = timer;
      }
    }
    return found;
  }
}

function isDueBefore(left: PendingTimer, right: PendingTimer): boolean {
  if (left.dueAt !== right.dueAt) {
    return left.dueAt < right.dueAt;
  }
  return left.sequence < right.sequence;
}

/** Yields until pending promise callbacks and already queued immediates have run. */
export function runPendingCallbacks(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
