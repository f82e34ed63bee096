import {Clock} from '../common/clock.js';
import {Disposable, toDisposable} from '../common/lifecycle.js';

/** Reads the clocks of the operating system. */
export class SystemClock extends Clock {
  override monotonicMilliseconds(): number {
    return performance.now();
  }

  override wallMilliseconds(): number {
    return Date.now();
  }

  override setTimer(milliseconds: number, callback: () => void): Disposable {
    const timer = setTimeout(callback, milliseconds);
    return toDisposable(() => clearTimeout(timer));
  }
}
