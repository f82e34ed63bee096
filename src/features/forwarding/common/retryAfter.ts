/** When a caller whose request has not run may come back. */

/** Why a request was not run. */
export type NotRunReason =
  /** The configuration is not known or not confirmed. */
  | 'unconfirmed'
  /** No usable upstream is listed. */
  | 'noUpstream'
  /** Some layer of the model is held by no usable upstream. */
  | 'noLayers'
  /** Every path is full. */
  | 'noRoom'
  /** Every upstream that was asked refused. */
  | 'refused'
  /** The caller's time ended before the request could be sent. */
  | 'timeOver'
  /** The instance is stopping. */
  | 'stopping';

/**
 * Milliseconds for each reason, by what has to happen first: a confirmation is tried again at once and
 * the bound for calls to the store is under a second; a lost upstream is replaced or tried again after
 * half a second; layers of one accelerator load in one to two seconds; a slot of a plain service is free
 * after a call or two, room on a path when some streams have ended; another instance takes the
 * request at once where this one stops.
 */
const RETRY_AFTER_MILLISECONDS: Readonly<Record<NotRunReason, number>> = {
  unconfirmed: 1_000,
  noUpstream: 700,
  noLayers: 1_500,
  noRoom: 400,
  refused: 250,
  timeOver: 250,
  stopping: 0,
};

/** A caller waits for a third of its time at most; longer waits are cut by it. */
const DEADLINE_SHARE = 1 / 3;

/** The time to tell a caller. Chance spreads the return of many by half of it. */
export function retryAfterMilliseconds(
  reason: NotRunReason,
  timeLeftMilliseconds: number,
  draw: number,
): number {
  const base = RETRY_AFTER_MILLISECONDS[reason];
  const spread = base * (1 + draw / 2);
  const most = Math.max(0, timeLeftMilliseconds * DEADLINE_SHARE);
  return Math.round(Math.min(spread, most));
}
