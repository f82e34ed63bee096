import {NotRunReason, retryAfterMilliseconds} from '../common/retryAfter.js';
import {ForwardingServices} from './forwardingServices.js';

/** A request that is refused as not executed. */
export interface RefusedRequest {
  readonly reason: NotRunReason;
  /** Milliseconds until its caller's time limit ends. */
  readonly remainingMilliseconds: number;
  /** Milliseconds until the cause ends, where it is known. */
  readonly causeEndsInMilliseconds?: number | undefined;
}

/** Milliseconds after which the caller of a refused request may return. */
export function notRunDelay(
  {clock, random, stop}: Pick<ForwardingServices, 'clock' | 'random' | 'stop'>,
  {reason, remainingMilliseconds, causeEndsInMilliseconds = 0}: RefusedRequest,
): number {
  const causeEndsIn =
    reason === 'stopping'
      ? stop.servedAgainIn(clock.monotonicMilliseconds())
      : causeEndsInMilliseconds;
  return retryAfterMilliseconds(
    reason,
    remainingMilliseconds,
    random.next(),
    causeEndsIn,
  );
}
