import {Clock} from './clock.js';

/** A point in time on both clocks, from which a suspension of the process can be detected. */
export interface Moment {
  readonly monotonic: number;
  readonly wall: number;
}

/**
 * The process counts as having been suspended when the wall clock is ahead of the monotonic clock by more than
 * this. It is well above the drift between the two clocks within a few seconds, and well below the time limits
 * for revoked keys and leaving upstreams.
 */
const SUSPENSION_THRESHOLD_MILLISECONDS = 300;

/** The current time on both clocks. */
export function currentMoment(clock: Clock): Moment {
  return {
    monotonic: clock.monotonicMilliseconds(),
    wall: clock.wallMilliseconds(),
  };
}

/** The moment a number of milliseconds before another. */
export function momentBefore(moment: Moment, milliseconds: number): Moment {
  return {
    monotonic: moment.monotonic - milliseconds,
    wall: moment.wall - milliseconds,
  };
}

/**
 * Milliseconds since a moment. The monotonic clock stops while the process is suspended, so after a suspension the
 * wall clock is used.
 */
export function elapsedSince(clock: Clock, moment: Moment): number {
  const now = currentMoment(clock);
  const monotonic = now.monotonic - moment.monotonic;
  const wall = now.wall - moment.wall;
  return wall - monotonic > SUSPENSION_THRESHOLD_MILLISECONDS
    ? wall
    : monotonic;
}
