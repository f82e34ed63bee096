/** How long a stream waits for a path when there is none right now. */

/** What the patience depends on. */
export interface WaitingStream {
  /** Whether its caller has events already. */
  readonly hasBegun: boolean;
  /** Whether it may have run, so that its caller can't be told that it did not. */
  readonly mayHaveRun: boolean;
  /** Milliseconds since its last event, or since it came. */
  readonly silentMilliseconds: number;
  /** Time to the first event that counts as on time. */
  readonly latencyTargetMilliseconds: number;
}

/**
 * Callers give a stream up after a pause of two seconds. One that has begun is worth waiting for until
 * shortly before: breaking it off loses all that was made, and layers of a lost upstream are loaded in
 * one to two seconds.
 */
const PAUSE_LIMIT_MILLISECONDS = 1_800;

/**
 * Part of the target that a request that has surely not run may wait. Streams end all the time, so room
 * for one comes within some ten milliseconds when load is only uneven; when it is too much, its caller
 * is better told at once when to come back.
 */
const FIRST_WAIT_SHARE = 1 / 8;

/** Milliseconds for which the stream goes on looking for a path; none left when zero. */
export function roomPatience(stream: WaitingStream): number {
  const limit =
    stream.hasBegun || stream.mayHaveRun
      ? PAUSE_LIMIT_MILLISECONDS
      : stream.latencyTargetMilliseconds * FIRST_WAIT_SHARE;
  return Math.max(0, limit - stream.silentMilliseconds);
}
