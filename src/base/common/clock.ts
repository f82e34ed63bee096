import {Disposable} from './lifecycle.js';

/** Time, as a port: the wall clock for people, the monotonic clock for decisions. */
export abstract class Clock {
  /** Milliseconds since an arbitrary start; never goes back. */
  abstract monotonicMilliseconds(): number;
  /** Milliseconds since the Unix epoch. */
  abstract wallMilliseconds(): number;
  /** Runs a callback once after a delay; dispose to stop it. */
  abstract setTimer(milliseconds: number, callback: () => void): Disposable;
}
