import {Pipeline} from './pipelineSearch.js';
import {ClassTimes, ShareView, StageView, WorkEstimate} from './routing.js';
import {ShareStanding} from './shareStanding.js';

/** Slots left to accounts within their share when one over its share asks. */

/** Part of the shortest first-token target within which a slot must come free to count. */
const HORIZON_PART = 0.3;
/**
 * Slots kept, over the square root of all slots (arrivals in a while vary by the root of their
 * number), at full strictness.
 */
const KEPT_SHARE = 0.5;

interface Slots {
  readonly coming: number;
  readonly total: number;
}

/** Slots of the narrowest layer range: how many are free by a time, and all. */
function slotsBy(
  stages: Iterable<StageView>,
  now: number,
  time: number,
): Slots {
  const ranges = new Map<number, Slots>();
  for (const {layers, sequenceLimit, busyUntil} of stages) {
    const range = ranges.get(layers.from) ?? {coming: 0, total: 0};
    const limit = Math.max(1, Math.floor(sequenceLimit));
    const held = busyUntil.filter(
      finish => finish > time || finish <= now,
    ).length;
    ranges.set(layers.from, {
      coming: range.coming + Math.max(0, limit - held),
      total: range.total + limit,
    });
  }
  return [...ranges.values()].reduce((narrowest, one) =>
    one.coming < narrowest.coming ? one : narrowest,
  );
}

/** The shortest first-token target, and the tightest token target from `step` on, of classes that ran lately. */
function protectedTimes(
  shares: ShareView,
  work: WorkEstimate,
  step: number,
): ClassTimes {
  let firstToken = work.firstTokenWithin;
  let betweenTokens = work.betweenTokensTarget;
  for (const [name, times] of shares.timesByClass ?? []) {
    if (!shares.usedByClass.has(name)) {
      continue;
    }
    firstToken = Math.min(firstToken, times.firstToken);
    if (times.betweenTokens >= step) {
      betweenTokens = Math.min(betweenTokens, times.betweenTokens);
    }
  }
  return {firstToken, betweenTokens};
}

/**
 * Whether an account over its share must leave a pipeline to others. What an arrival can wait for
 * need not be kept idle, so slots count that come free well within the shortest first-token target,
 * over all pipelines that serve the tightest class which this one serves.
 */
export function mustLeaveSlots(
  pipeline: Pipeline,
  pipelines: readonly Pipeline[],
  shares: ShareView,
  {excess, contention}: ShareStanding,
  work: WorkEstimate,
  now: number,
): boolean {
  const step = pipeline.prediction.betweenTokensMilliseconds;
  const times = protectedTimes(shares, work, step);
  const serving = pipelines.filter(
    one => one.prediction.betweenTokensMilliseconds <= times.betweenTokens,
  );
  const stages = new Set(serving.flatMap(one => one.stages));
  const horizon = HORIZON_PART * times.firstToken;
  const {coming, total} = slotsBy(stages, now, now + horizon);
  const strictness = Math.min(1, excess + contention);
  return coming <= Math.ceil(KEPT_SHARE * strictness * Math.sqrt(total));
}
