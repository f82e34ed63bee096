import {Clock} from './clock.js';

/** A moment on both clocks, so that a suspension of the process can be noticed. */
export interface Moment {
  readonly monotonic: number;
  readonly wall: number;
}

/**
 * Wall time that may pass beyond monotonic time before the process counts as suspended: well over the drift
 * of sound clocks within a few seconds, well under the bounds for revoked keys and leaving upstreams.
 */
const SUSPENSION_MILLISECONDS = 300;

/** Now. */
export function momentOf(clock: Clock): Moment {
  return {
    monotonic: clock.monotonicMilliseconds(),
    wall: clock.wallMilliseconds(),
  };
}

/** The moment that was some milliseconds before another. */
export function momentBefore(moment: Moment, milliseconds: number): Moment {
  return {
    monotonic: moment.monotonic - milliseconds,
    wall: moment.wall - milliseconds,
  };
}

/** Milliseconds since a moment; the monotonic clock stands still while the process is suspended, the wall clock does not. */
export function elapsedSince(clock: Clock, moment: Moment): number {
  const now = momentOf(clock);
  const monotonic = now.monotonic - moment.monotonic;
  const wall = now.wall - moment.wall;
  return wall - monotonic > SUSPENSION_MILLISECONDS ? wall : monotonic;
}
