import {LedgerIndex} from '../ledgerIndex.js';
import {LeavingWindow, Violation} from '../observations.js';

/** Time after the list shows that an upstream leaves, in which it may still get new work. */
export const LEAVING_GRACE_MILLISECONDS = 3000;

/** Some seconds after its notice a leaving upstream begins nothing of a request that is new there. */
export function checkLeavingGetsNothing(
  windows: readonly LeavingWindow[],
  ledger: LedgerIndex,
): readonly Violation[] {
  return windows.flatMap(window => {
    const {upstream, from, to, lagMilliseconds} = window;
    const bound = from + lagMilliseconds + LEAVING_GRACE_MILLISECONDS;
    const late = ledger
      .arrivalsAt(upstream)
      .filter(at => at > bound && at < to);
    const after = late.map(at => at - from);
    const detail = `${upstream} got new work ${after.join(', ')} ms after its notice`;
    return late.length > 0
      ? [{point: 'leavingGetsNothing', subject: `${upstream} ${from}`, detail}]
      : [];
  });
}

/** Milliseconds from the notice to the last new request within the window; undefined when none came. */
export function lastArrivalAfter(
  window: LeavingWindow,
  ledger: LedgerIndex,
): number | undefined {
  const within = ledger
    .arrivalsAt(window.upstream)
    .filter(at => at > window.from && at < window.to);
  return within.length > 0 ? Math.max(...within) - window.from : undefined;
}
