/** Determines when a caller may retry a request that was not executed. */

/** Why a request was not executed. */
export type NotRunReason =
  /** The configuration is unknown or not confirmed. */
  | 'unconfirmed'
  /** No usable upstream is listed. */
  | 'noUpstream'
  /** At least one layer of the model is held by no usable upstream. */
  | 'noLayers'
  /** No path has capacity for the request. */
  | 'noRoom'
  /** Every usable upstream has reached the limit of requests that it names, or asked for rest. */
  | 'limited'
  /** Every upstream that was tried refused the request. */
  | 'refused'
  /** The route allows no further upstream, and those that were tried can't take the request now. */
  | 'attemptsUsed'
  /** Upstreams crash when they begin to answer such requests. */
  | 'endsUpstreams'
  /** The memory for bodies of requests is used up. */
  | 'noMemory'
  /** The deadline passed before the request could be sent. */
  | 'timeOver'
  /** It may have waited unread until its deadline, because the event loop was late. */
  | 'readLate'
  /** The instance is stopping. */
  | 'stopping';

/**
 * Base delay for each reason, from the time until its cause ends. A confirmation is retried at once, and
 * calls to the store are limited to less than a second. A lost upstream is replaced or probed again after
 * half a second. A request that was read late is read at once elsewhere. The layers of one accelerator load in one to two seconds. A limit and a rest give their own time. A slot of a plain service is
 * free after a call or two, and a prompt that crashes upstreams is tried again after a minute at the earliest. Capacity on a path is free when some streams have ended, and so is memory for bodies. When this instance stops, another
 * one takes the request at once, or this one after its restart if no other serves.
 */
const RETRY_AFTER_MILLISECONDS: Readonly<Record<NotRunReason, number>> = {
  unconfirmed: 1_000,
  noUpstream: 700,
  noLayers: 1_500,
  noRoom: 400,
  limited: 400,
  refused: 250,
  attemptsUsed: 250,
  endsUpstreams: 60_000,
  noMemory: 400,
  timeOver: 250,
  readLate: 0,
  stopping: 0,
};

/** Maximum delay as a share of the time that the caller has left. */
const MAX_DEADLINE_SHARE = 1 / 3;

/**
 * Returns the delay to send to the caller: the base delay, or the time until the cause ends if that is longer. Jitter of up to half the base delay spreads the retries of many
 * callers.
 */
export function retryAfterMilliseconds(
  reason: NotRunReason,
  remainingMilliseconds: number,
  randomFraction: number,
  causeEndsInMilliseconds = 0,
): number {
  const base = Math.max(
    RETRY_AFTER_MILLISECONDS[reason],
    causeEndsInMilliseconds,
  );
  const jittered = base * (1 + randomFraction / 2);
  const limit = Math.max(0, remainingMilliseconds * MAX_DEADLINE_SHARE);
  return Math.round(Math.min(jittered, limit));
}
