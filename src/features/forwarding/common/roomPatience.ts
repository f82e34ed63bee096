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
 * A request that may have run, and of which its caller has nothing yet, can only be failed. Layers of a
 * lost upstream are loaded in one to two seconds, so it is worth waiting for so long.
 */
const UNKNOWN_WAIT_MILLISECONDS = 1_800;

/**
 * Part of the target that a request that has surely not run may wait. Streams end all the time, so room
 * for one comes within some ten milliseconds when load is only uneven; when it is too much, its caller
 * is better told at once when to come back.
 */
const FIRST_WAIT_SHARE = 1 / 8;

/**
 * Milliseconds for which the stream goes on looking for a path; none left when zero. One that has begun
 * is never given up before its time is over: its caller knows best how long to wait, and leaves.
 */
export function roomPatience(stream: WaitingStream): number {
  if (stream.hasBegun) {
    return Infinity;
  }
  const limit = stream.mayHaveRun
    ? UNKNOWN_WAIT_MILLISECONDS
    : stream.latencyTargetMilliseconds * FIRST_WAIT_SHARE;
  return Math.max(0, limit - stream.silentMilliseconds);
}

/** How often a stream looks again, and how often once it has waited for long. */
const LOOK_AGAIN_MILLISECONDS = 20;
const LOOK_SELDOM_MILLISECONDS = 100;

/** Milliseconds until a waiting stream looks for a path again. */
export function lookAgainAfter(silentMilliseconds: number): number {
  return silentMilliseconds < UNKNOWN_WAIT_MILLISECONDS
    ? LOOK_AGAIN_MILLISECONDS
    : LOOK_SELDOM_MILLISECONDS;
}
