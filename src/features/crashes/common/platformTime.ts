import {Clock} from '../../../base/common/clock.js';

/**
 * The platform's steady clock as this instance knows it. Answers that arrive late, and time for which the machine was suspended,
 * only make the difference between the two clocks too small; so the largest that was seen is the best.
 */
export class PlatformTime {
  private difference = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Milliseconds by which the platform's clock is ahead of the monotonic one; undefined before the first reading. */
  get aheadMilliseconds(): number | undefined {
    return Number.isFinite(this.difference) ? this.difference : undefined;
  }

  /** Milliseconds of the platform's clock; undefined before the first reading. */
  get now(): number | undefined {
    const ahead = this.aheadMilliseconds;
    return ahead === undefined
      ? undefined
      : this.clock.monotonicMilliseconds() + ahead;
  }

  /** Records a reading of the platform's clock that has just arrived. */
  observe(milliseconds: number): void {
    const difference = milliseconds - this.clock.monotonicMilliseconds();
    this.difference = Math.max(this.difference, difference);
  }
}
