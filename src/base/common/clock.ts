import {Disposable} from './lifecycle.js';

/** Source of time: the monotonic clock for decisions, the wall clock for timestamps that people read. */
export abstract class Clock {
  /** Milliseconds since an arbitrary start; never decreases. */
  abstract monotonicMilliseconds(): number;
  /** Milliseconds since the Unix epoch. */
  abstract wallMilliseconds(): number;
  /**
   * Milliseconds for which the machine was suspended, since an arbitrary start and as far as the operating system says: time
   * that the monotonic clock doesn't count. Only differences of more than tens of milliseconds mean something.
   */
  abstract suspendedMilliseconds(): number;
  /** Runs a callback once after a delay; dispose the result to cancel it. */
  abstract setTimer(milliseconds: number, callback: () => void): Disposable;
  /**
   * Runs a callback once when another party has not responded in time; dispose the result when it has. What has arrived by then is read
   * first, and a timer that is late waits once more for as long as it was late, up to its time: this process may have been held meanwhile,
   * so that it could neither send nor read.
   */
  abstract setResponseTimer(
    milliseconds: number,
    callback: () => void,
  ): Disposable;
}
