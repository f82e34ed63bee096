import {Pipeline} from './pipelineSearch.js';
import {ClassTargets, ShareView, StageView, WorkEstimate} from './routing.js';
import {FairShareStatus} from './fairShareStatus.js';

/** Slots reserved for accounts within their share when an account over its share requests one. */

/** Share of the shortest first-token target within which a slot must become free to count as available. */
const HORIZON_SHARE = 0.3;
/**
 * Reserved slots at full strictness, as a multiple of the square root of all slots, because the number
 * of arrivals in a period varies by its square root.
 */
const RESERVE_FACTOR = 0.5;

interface RangeSlots {
  readonly available: number;
  readonly total: number;
}

/** Slots of the layer range with the fewest available by `horizonEnd`. Overdue sequences count as occupying a slot. */
function narrowestRangeSlots(
  stages: Iterable<StageView>,
  now: number,
  horizonEnd: number,
): RangeSlots {
  const ranges = new Map<number, RangeSlots>();
  for (const {
    layers,
    sequenceLimit,
    expectedFinishTimes: busyUntil,
  } of stages) {
    const range = ranges.get(layers.from) ?? {available: 0, total: 0};
    const limit = Math.max(1, Math.floor(sequenceLimit));
    const occupied = busyUntil.filter(
      finish => finish > horizonEnd || finish <= now,
    ).length;
    ranges.set(layers.from, {
      available: range.available + Math.max(0, limit - occupied),
      total: range.total + limit,
    });
  }
  return [...ranges.values()].reduce((narrowest, range) =>
    range.available < narrowest.available ? range : narrowest,
  );
}

/** Of recently active classes: shortest first-token target, and shortest token target from `stepMilliseconds` up. */
function protectedTargets(
  shares: ShareView,
  work: WorkEstimate,
  stepMilliseconds: number,
): ClassTargets {
  let firstToken = work.firstTokenWithinMilliseconds;
  let betweenTokens = work.betweenTokensTargetMilliseconds;
  for (const [name, targets] of shares.timesByClass ?? []) {
    if (!shares.usedByClass.has(name)) {
      continue;
    }
    firstToken = Math.min(firstToken, targets.firstToken);
    if (targets.betweenTokens >= stepMilliseconds) {
      betweenTokens = Math.min(betweenTokens, targets.betweenTokens);
    }
  }
  return {firstToken, betweenTokens};
}

/**
 * Whether an account over its share must leave a pipeline to others. Slots that arriving work can wait
 * for need not be idle, so those that become free well within the shortest first-token target count as
 * available. The count covers all pipelines that serve the tightest class served by this one.
 */
export function isReservedForOthers(
  pipeline: Pipeline,
  pipelines: readonly Pipeline[],
  shares: ShareView,
  {excess, contention}: FairShareStatus,
  work: WorkEstimate,
  now: number,
): boolean {
  const stepMilliseconds = pipeline.prediction.betweenTokensMilliseconds;
  const targets = protectedTargets(shares, work, stepMilliseconds);
  const alternatives = pipelines.filter(
    other =>
      other.prediction.betweenTokensMilliseconds <= targets.betweenTokens,
  );
  const stages = new Set(alternatives.flatMap(other => other.stages));
  const horizonMilliseconds = HORIZON_SHARE * targets.firstToken;
  const {available, total} = narrowestRangeSlots(
    stages,
    now,
    now + horizonMilliseconds,
  );
  const strictness = Math.min(1, excess + contention);
  return available <= Math.ceil(RESERVE_FACTOR * strictness * Math.sqrt(total));
}
