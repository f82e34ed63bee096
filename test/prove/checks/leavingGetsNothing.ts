import {LedgerIndex} from '../ledgerIndex.js';
import {LeavingWindow, Violation} from '../observations.js';

/** How long an upstream may still get new work after the membership list shows that it leaves. */
export const LEAVING_GRACE_MILLISECONDS = 3000;

/** Checks that no new request arrives at a leaving upstream after the list lag and the grace period. */
export function checkLeavingGetsNothing(
  leavingWindows: readonly LeavingWindow[],
  ledger: LedgerIndex,
): readonly Violation[] {
  return leavingWindows.flatMap(window => {
    const {upstream, from, to, lagMilliseconds} = window;
    const deadline = from + lagMilliseconds + LEAVING_GRACE_MILLISECONDS;
    const lateArrivals = ledger
      .arrivalTimesAt(upstream)
      .filter(at => at > deadline && at < to);
    const delays = lateArrivals.map(at => at - from);
    const detail = `${upstream} got new work ${delays.join(', ')} ms after its notice`;
    return lateArrivals.length > 0
      ? [
          {
            invariant: 'leavingGetsNothing',
            subject: `${upstream} ${from}`,
            detail,
          },
        ]
      : [];
  });
}

/** Returns the milliseconds from the notice to the last new request within the window; undefined without any. */
export function lastArrivalDelay(
  window: LeavingWindow,
  ledger: LedgerIndex,
): number | undefined {
  const arrivals = ledger
    .arrivalTimesAt(window.upstream)
    .filter(at => at > window.from && at < window.to);
  return arrivals.length > 0 ? Math.max(...arrivals) - window.from : undefined;
}
