/** Computes the time from a fault until requests meet their targets again. */

/** Start of a request and whether it met its targets. */
export interface TimedRequest {
  /** Monotonic milliseconds. */
  readonly startedAt: number;
  /** Whether the complete, correct reply met the class's targets, measured from the first attempt. */
  readonly hasMetTargets: boolean;
}

/** Recovery from one fault. */
export interface Recovery {
  readonly seconds: number;
  /** False when targets were not met again before the end of the interval; `seconds` is then its length. */
  readonly recovered: boolean;
}

const WINDOW_MILLISECONDS = 500;
const REQUIRED_SHARE = 0.95;

/**
 * Computes the time from the fault to the start of the last request that missed its targets in a degraded
 * window, one where fewer than 95 % of the requests met them. Windows hold half a second of arrivals,
 * starting at the fault; a shorter last window is merged into the one before. The time is 0 when no
 * window is degraded.
 */
export function computeRecovery(
  requests: readonly TimedRequest[],
  faultAt: number,
  endAt: number,
): Recovery {
  const count = Math.floor((endAt - faultAt) / WINDOW_MILLISECONDS);
  const windows = Array.from(
    {length: Math.max(1, count)},
    (): TimedRequest[] => [],
  );
  for (const request of requests) {
    if (request.startedAt >= faultAt && request.startedAt < endAt) {
      const position = (request.startedAt - faultAt) / WINDOW_MILLISECONDS;
      windows[Math.min(windows.length - 1, Math.floor(position))].push(request);
    }
  }
  const lastDegraded = windows.findLastIndex(isDegraded);
  if (lastDegraded < 0) {
    return {seconds: 0, recovered: true};
  }
  if (lastDegraded === windows.length - 1) {
    return {seconds: (endAt - faultAt) / 1000, recovered: false};
  }
  const misses = windows[lastDegraded].filter(
    request => !request.hasMetTargets,
  );
  const last = Math.max(...misses.map(request => request.startedAt));
  return {seconds: (last - faultAt) / 1000, recovered: true};
}

function isDegraded(window: readonly TimedRequest[]): boolean {
  const met = window.filter(request => request.hasMetTargets).length;
  return met < REQUIRED_SHARE * window.length;
}
