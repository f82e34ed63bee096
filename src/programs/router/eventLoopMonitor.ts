import {Clock} from '../../base/common/clock.js';
import {EventLoop} from '../../base/common/eventLoop.js';
import {DisposableOwner, toDisposable} from '../../base/common/lifecycle.js';
import {nextPoll} from '../../base/node/nextPoll.js';
import {Logger} from '../../infrastructure/logging/common/logger.js';

/** Period of the check. */
const CHECK_PERIOD_MILLISECONDS = 100;

/** Delay that is reported: a noticeable part of the pause that callers tolerate between events. */
const DELAY_THRESHOLD_MILLISECONDS = 60;

/** Most polls in which new connections are accepted before the first of their requests is handled. */
const ACCEPT_POLL_LIMIT = 1_000;

/** Logs a warning when the event loop was delayed, either by this process or by contention on the machine. */
export class EventLoopMonitor extends DisposableOwner implements EventLoop {
  private lastCheckAt: number;
  /** The last moment before a poll that has ended. */
  private lastPollAt: number;
  /** The last of these moments after which no connection waited to be accepted. */
  private readAt: number;
  /** Whether no connection waits to be accepted, as of the last poll. */
  private isRead = true;
  private acceptedCount = 0;
  private suspendedAtPoll: number;
  private lastUsage = process.cpuUsage();

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    super();
    this.lastCheckAt = clock.monotonicMilliseconds();
    this.lastPollAt = this.lastCheckAt;
    this.readAt = this.lastCheckAt;
    this.suspendedAtPoll = clock.suspendedMilliseconds();
    const timer = setInterval(() => this.check(), CHECK_PERIOD_MILLISECONDS);
    this.register(toDisposable(() => clearInterval(timer)));
  }

  /**
   * Monotonic milliseconds after which a signal that is received now was sent at the earliest: the event loop has polled for
   * signals since then and has not seen it.
   */
  get earliestSignalAt(): number {
    return this.lastPollAt;
  }

  /** What the clock said at that moment of the time for which the machine was suspended. */
  get suspendedBeforeSignal(): number {
    return this.suspendedAtPoll;
  }

  private check(): void {
    const now = this.clock.monotonicMilliseconds();
    const delayMilliseconds =
      now - this.lastCheckAt - CHECK_PERIOD_MILLISECONDS;
    const usage = process.cpuUsage(this.lastUsage);
    if (delayMilliseconds > DELAY_THRESHOLD_MILLISECONDS) {
      this.logger.warn('event loop delayed', {
        milliseconds: Math.round(delayMilliseconds),
        processorMilliseconds: Math.round((usage.user + usage.system) / 1000),
      });
    }
    this.lastCheckAt = now;
    void this.readAll();
    this.lastUsage = process.cpuUsage();
  }

  get readUntil(): number {
    return this.readAt;
  }

  /** Records that a connection was accepted. */
  recordAccepted(): void {
    this.acceptedCount++;
  }

  /** An event loop accepts one connection in each turn, so it is read to the end when a turn has brought none. */
  async readAll(): Promise<void> {
    let polls = 0;
    do {
      await this.nextPoll();
      polls++;
    } while (!this.isRead && polls < ACCEPT_POLL_LIMIT);
    // Requests of the last connection are read now, and whether it has ended is read next.
    await nextPoll();
  }

  async nextPoll(): Promise<void> {
    const now = this.clock.monotonicMilliseconds();
    const suspended = this.clock.suspendedMilliseconds();
    const {acceptedCount} = this;
    await nextPoll();
    this.isRead = acceptedCount === this.acceptedCount;
    if (this.isRead) {
      this.readAt = Math.max(this.readAt, now);
    }
    if (now > this.lastPollAt) {
      this.lastPollAt = now;
      this.suspendedAtPoll = suspended;
    }
  }
}
