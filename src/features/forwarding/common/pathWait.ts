import {AdmissionWait} from './admissionFilter.js';

/** Determines how long a stream waits for a path when none is available. */

/** State of a stream that waits for a path. */
export interface WaitingStream {
  /** Whether its caller has received events. */
  readonly hasBegun: boolean;
  /** Whether an upstream may have executed it, so that its caller can't be told that it was not executed. */
  readonly mayHaveRun: boolean;
  /** Milliseconds since its last event, or since its arrival before the first event. */
  readonly silentMilliseconds: number;
  /** Latency target for the first event. */
  readonly latencyTargetMilliseconds: number;
}

/**
 * Maximum wait of a request that may have been executed and of which its caller has received nothing. Without a
 * path it can only fail, and the layers of a lost upstream load in one to two seconds.
 */
const UNKNOWN_OUTCOME_WAIT_MILLISECONDS = 1_800;

/**
 * Maximum wait of a request that was certainly not executed, as a share of the latency target. Streams end
 * constantly, so capacity appears within some ten milliseconds if load is merely uneven; under overload its
 * caller is better told at once when to retry.
 */
const NOT_RUN_WAIT_SHARE = 1 / 8;

/**
 * Milliseconds for which the stream continues to look for a path; zero if it must give up. A stream that
 * has begun waits until its deadline: its caller knows best how long to wait, and disconnects.
 */
export function remainingPathWait(stream: WaitingStream): number {
  if (stream.hasBegun) {
    return Infinity;
  }
  const limit = stream.mayHaveRun
    ? UNKNOWN_OUTCOME_WAIT_MILLISECONDS
    : stream.latencyTargetMilliseconds * NOT_RUN_WAIT_SHARE;
  return Math.max(0, limit - stream.silentMilliseconds);
}

/** What to do with a stream for which there is no path now. */
export type WithoutPath =
  | {
      readonly kind: 'wait';
      /** How long the stream would still wait. */
      readonly patienceMilliseconds: number;
    }
  | {
      readonly kind: 'giveUp';
      /** Time until the cause ends; zero if it is not known. */
      readonly causeEndsInMilliseconds: number;
    };

/**
 * Decides whether a stream waits. One that was never sent doesn't wait for a limit under which only other instances may send.
 * @param admissionWait the wait for limits; undefined if they are not the cause
 * @param hasTimeForAttempt whether enough time is left for an attempt
 */
export function decideWithoutPath(
  stream: WaitingStream,
  admissionWait: AdmissionWait | undefined,
  hasTimeForAttempt: boolean,
): WithoutPath {
  const patienceMilliseconds = remainingPathWait(stream);
  const isNew = !stream.mayHaveRun && !stream.hasBegun;
  const isTooLong =
    isNew &&
    admissionWait !== undefined &&
    admissionWait.ownMilliseconds > patienceMilliseconds;
  if (isTooLong || patienceMilliseconds === 0 || !hasTimeForAttempt) {
    const causeEndsInMilliseconds = admissionWait?.anyMilliseconds ?? 0;
    return {kind: 'giveUp', causeEndsInMilliseconds};
  }
  return {kind: 'wait', patienceMilliseconds};
}

/** Intervals between searches for a path, during the first wait and after a long one. */
const RETRY_MILLISECONDS = 20;
const LONG_WAIT_RETRY_MILLISECONDS = 100;

/** Milliseconds until a waiting stream searches for a path again. */
export function pathRetryDelay(silentMilliseconds: number): number {
  return silentMilliseconds < UNKNOWN_OUTCOME_WAIT_MILLISECONDS
    ? RETRY_MILLISECONDS
    : LONG_WAIT_RETRY_MILLISECONDS;
}
