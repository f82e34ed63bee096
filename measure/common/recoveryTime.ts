/** When targets are met again after a fault. */

/** A request of a steady load, as far as it matters here; times are monotonic milliseconds. */
export interface ArrivedRequest {
  readonly startedAt: number;
  /** Whether the whole right reply came within its class's targets, counted from the first attempt. */
  readonly met: boolean;
}

/** How a fault passed. */
export interface Recovery {
  readonly seconds: number;
  /** False when targets were not met again before the end; `seconds` is then the whole time. */
  readonly recovered: boolean;
}

const WINDOW_MILLISECONDS = 500;
const SHARE_MET = 0.95;

/**
 * Seconds from the fault to the start of the last request that missed its targets in a window where
 * fewer than 95 in 100 met theirs. Windows are half a second of arrivals, counted from the fault; a
 * window cut short by the end joins the one before. 0 when all windows are good.
 */
export function recoveryOf(
  requests: readonly ArrivedRequest[],
  faultAt: number,
  endAt: number,
): Recovery {
  const count = Math.floor((endAt - faultAt) / WINDOW_MILLISECONDS);
  const windows = Array.from(
    {length: Math.max(1, count)},
    (): ArrivedRequest[] => [],
  );
  for (const request of requests) {
    if (request.startedAt >= faultAt && request.startedAt < endAt) {
      const place = (request.startedAt - faultAt) / WINDOW_MILLISECONDS;
      windows[Math.min(windows.length - 1, Math.floor(place))].push(request);
    }
  }
  const lastBad = windows.findLastIndex(isBad);
  if (lastBad < 0) {
    return {seconds: 0, recovered: true};
  }
  if (lastBad === windows.length - 1) {
    return {seconds: (endAt - faultAt) / 1000, recovered: false};
  }
  const missed = windows[lastBad].filter(request => !request.met);
  const last = Math.max(...missed.map(request => request.startedAt));
  return {seconds: (last - faultAt) / 1000, recovered: true};
}

function isBad(window: readonly ArrivedRequest[]): boolean {
  const met = window.filter(request => request.met).length;
  return met < SHARE_MET * window.length;
}
