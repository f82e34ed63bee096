import {Upstream} from '../../fleet/common/upstream.js';

/**
 * The number of layers for each upstream depends on all upstreams, so the first plan waits until none has been
 * added for slightly more than a heartbeat interval, but no longer than the limit. Ranges do not shrink later, so a plan
 * for a part of the upstreams would leave all of them little room for requests.
 */
const SETTLE_MILLISECONDS = 1_500;
const SETTLE_LIMIT_MILLISECONDS = 8_000;

/** Detects when all upstreams of a service without any loaded layers have been added. */
export class ArrivalTracker {
  private readonly arrivals = new Map<
    string,
    {readonly count: number; readonly firstAt: number; readonly lastAt: number}
  >();

  /** Whether no more upstreams are awaited before the first plan, at a monotonic time in milliseconds. */
  haveSettled(
    service: string,
    upstreams: readonly Upstream[],
    now: number,
  ): boolean {
    if (upstreams.some(({layers}) => layers !== undefined)) {
      return true;
    }
    const count = upstreams.length;
    const before = this.arrivals.get(service);
    const isNew = before === undefined || count > before.count;
    const firstAt = before?.firstAt ?? now;
    const lastAt = isNew ? now : before.lastAt;
    this.arrivals.set(service, {count, firstAt, lastAt});
    return (
      now - lastAt >= SETTLE_MILLISECONDS ||
      now - firstAt >= SETTLE_LIMIT_MILLISECONDS
    );
  }
}
