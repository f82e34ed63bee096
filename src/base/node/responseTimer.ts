import {Disposable} from '../common/lifecycle.js';
import {nextPoll} from './nextPoll.js';

/** Lateness up to which a timer counts as on time. */
const ON_TIME_MILLISECONDS = 20;

/**
 * Waits for the response of another party. A timer of Node.js may run before a response that has arrived is read, since the process was held
 * or busy; see `Clock.setResponseTimer`.
 */
export class ResponseTimer implements Disposable {
  private timer: NodeJS.Timeout | undefined;
  private isDisposed = false;
  private hasWaitedAgain = false;

  constructor(
    private readonly milliseconds: number,
    private readonly callback: () => void,
  ) {
    this.start(milliseconds);
  }

  dispose(): void {
    this.isDisposed = true;
    clearTimeout(this.timer);
  }

  private start(milliseconds: number): void {
    const dueAt = performance.now() + milliseconds;
    this.timer = setTimeout(() => {
      const lateness = performance.now() - dueAt;
      void nextPoll().then(() => this.onRead(lateness));
    }, milliseconds);
  }

  /** Called when all has been read that had arrived at the time of the timer. */
  private onRead(lateness: number): void {
    if (this.isDisposed) {
      return;
    }
    if (lateness > ON_TIME_MILLISECONDS && !this.hasWaitedAgain) {
      this.hasWaitedAgain = true;
      this.start(Math.min(lateness, this.milliseconds));
    } else {
      this.callback();
    }
  }
}
