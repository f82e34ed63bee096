import {Upstream} from '../../fleet/common/upstream.js';
import {RequestLoad} from '../../fleet/common/upstreamLoadTracker.js';

/** Selects an upstream of a plain service for one request. */

/**
 * Weight of the failure rate: an upstream that fails every call scores like a healthy one with nine times
 * the load. It still gets an occasional call while the others are busy, so that its recovery is noticed.
 */
const FAILURE_WEIGHT = 8;

/** Weight of a cold start: an upstream that is still slow after its start scores as slightly more loaded. */
const COLD_START_WEIGHT = 0.6;

/** Upper bound of the random amount that breaks ties, as a share of a slot. */
const TIE_BREAK_WEIGHT = 0.05;

/** The candidates and the figures that their scores depend on. */
export interface PlainUpstreamQuery {
  readonly upstreams: readonly Upstream[];
  readonly loadOf: (upstream: string) => RequestLoad;
  readonly failureRateOf: (upstream: string) => number;
  readonly isUsable: (upstream: Upstream) => boolean;
  /** Returns a number in [0, 1). */
  readonly randomFraction: () => number;
}

/** The selected upstream, or `none` if no candidate is usable. */
export type PlainUpstreamChoice =
  | {
      readonly kind: 'found';
      readonly upstream: Upstream;
      readonly isFull: boolean;
    }
  | {readonly kind: 'none'};

/**
 * Selects the usable upstream with the lowest share of slots in use, weighted by failures and cold starts.
 */
export function choosePlainUpstream(
  query: PlainUpstreamQuery,
): PlainUpstreamChoice {
  let lowest: {upstream: Upstream; score: number} | undefined;
  for (const upstream of query.upstreams) {
    if (!query.isUsable(upstream)) {
      continue;
    }
    const score = computeScore(query, upstream);
    if (lowest === undefined || score < lowest.score) {
      lowest = {upstream, score};
    }
  }
  if (lowest === undefined) {
    return {kind: 'none'};
  }
  const {upstream} = lowest;
  const isFull = query.loadOf(upstream.id).requests >= upstream.slots;
  return {kind: 'found', upstream, isFull};
}

function computeScore(query: PlainUpstreamQuery, upstream: Upstream): number {
  const {requests} = query.loadOf(upstream.id);
  const utilization = (requests + 1) / Math.max(1, upstream.slots);
  const failurePenalty = FAILURE_WEIGHT * query.failureRateOf(upstream.id);
  const coldStartPenalty =
    upstream.coldMilliseconds > 0 ? COLD_START_WEIGHT : 0;
  const tieBreak = TIE_BREAK_WEIGHT * query.randomFraction();
  return utilization * (1 + failurePenalty + coldStartPenalty) + tieBreak;
}
