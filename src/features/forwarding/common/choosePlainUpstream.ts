import {Upstream} from '../../fleet/common/upstream.js';
import {LoadFigure} from '../../fleet/common/upstreamLoad.js';

/** Chooses the upstream of a plain service for one request. */

/**
 * An upstream that fails all calls counts as loaded as nine sound ones: it still gets a call now and
 * then when the others are busy, so that its return is noticed.
 */
const FAILURE_WEIGHT = 8;

/** An upstream that is still slow after its start counts as a little more loaded. */
const COLD_WEIGHT = 0.6;

/** Ties are broken by chance within this share of a slot. */
const CHANCE_WEIGHT = 0.05;

/** What the choice depends on. */
export interface PlainQuestion {
  readonly upstreams: readonly Upstream[];
  readonly loadOf: (upstream: string) => LoadFigure;
  readonly failureShareOf: (upstream: string) => number;
  readonly isUsable: (upstream: Upstream) => boolean;
  /** In [0, 1). */
  readonly draw: () => number;
}

/** The outcome: an upstream, or why there is none. */
export type PlainAnswer =
  | {
      readonly kind: 'found';
      readonly upstream: Upstream;
      readonly isFull: boolean;
    }
  | {readonly kind: 'none'};

/** The usable upstream with the least share of its slots taken, failures weighed in. */
export function choosePlainUpstream(question: PlainQuestion): PlainAnswer {
  let best: {upstream: Upstream; score: number} | undefined;
  for (const upstream of question.upstreams) {
    if (!question.isUsable(upstream)) {
      continue;
    }
    const score = scoreOf(question, upstream);
    if (best === undefined || score < best.score) {
      best = {upstream, score};
    }
  }
  if (best === undefined) {
    return {kind: 'none'};
  }
  const {upstream} = best;
  const isFull = question.loadOf(upstream.id).requests >= upstream.slots;
  return {kind: 'found', upstream, isFull};
}

function scoreOf(question: PlainQuestion, upstream: Upstream): number {
  const {requests} = question.loadOf(upstream.id);
  const taken = (requests + 1) / Math.max(1, upstream.slots);
  const failures = FAILURE_WEIGHT * question.failureShareOf(upstream.id);
  const cold = upstream.coldMilliseconds > 0 ? COLD_WEIGHT : 0;
  const chance = CHANCE_WEIGHT * question.draw();
  return taken * (1 + failures + cold) + chance;
}
