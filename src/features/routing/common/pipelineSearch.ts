import {CellView, Prediction, StageView, WorkEstimate} from './routing.js';

/** Finds pipelines (chains of stages that cover all layers of a model) and predicts their times. */

/** Predicted times of one stage for one piece of work. */
export interface StageEstimate {
  readonly stage: StageView;
  /** Time until a slot is free. */
  readonly waitMilliseconds: number;
  readonly prefill: number;
  /** Time of one decode step and the hop to the stage. */
  readonly step: number;
}

/** A chain of stages that covers all layers, with its predicted times. */
export interface Pipeline {
  readonly stages: readonly StageView[];
  readonly prediction: Prediction;
}

/** Maximum number of start times for which a chain across replicas is searched. */
const MAXIMUM_START_TIMES = 8;
/** Relative increase of predicted wait and compute times for each second of age of the load report. */
const UNCERTAINTY_PER_SECOND = 0.02;
/** Longest assumed overrun of a sequence past its expected finish, as a share of the decode time of the new work. */
const OVERRUN_SHARE = 0.1;
const MAXIMUM_AGE_MILLISECONDS = 5000;

/** Whether a stage accepts new work. A stage that is being probed takes one sequence at a time. */
export function isUsable(stage: StageView): boolean {
  if (stage.leaving || stage.health === 'quarantined') {
    return false;
  }
  return stage.health === 'healthy' || stage.expectedFinishTimes.length === 0;
}

/**
 * Time until one more sequence can be resident: until the finish that brings the count below the limit.
 * Overdue sequences are assumed to end at even intervals over the next `overrunMilliseconds`.
 */
export function slotWaitMilliseconds(
  stage: StageView,
  now: number,
  overrunMilliseconds: number,
): number {
  const isProbing = stage.health === 'probing';
  const limit = isProbing ? 1 : Math.max(1, Math.floor(stage.sequenceLimit));
  const freeingIndex = stage.expectedFinishTimes.length - limit;
  if (freeingIndex < 0) {
    return 0;
  }
  const overdueCount = stage.expectedFinishTimes.filter(
    finish => finish <= now,
  ).length;
  if (freeingIndex < overdueCount) {
    return (overrunMilliseconds * (freeingIndex + 1)) / (overdueCount + 1);
  }
  const minimumWait = overdueCount === 0 ? 0 : overrunMilliseconds;
  return Math.max(minimumWait, stage.expectedFinishTimes[freeingIndex]! - now);
}

/** Factor by which predicted wait and compute times grow with the age of the load report. */
function uncertaintyFactor(stage: StageView): number {
  const ageMilliseconds = Math.min(
    MAXIMUM_AGE_MILLISECONDS,
    stage.reportAgeMilliseconds,
  );
  return 1 + (UNCERTAINTY_PER_SECOND * ageMilliseconds) / 1000;
}

/** Prompt tokens that a stage must compute: all except a cached prefix. */
function promptTokensToCompute(stage: StageView, work: WorkEstimate): number {
  const {prefixKey, prefixTokens} = work;
  const isCached =
    prefixKey !== undefined && stage.cachedPrefixes.has(prefixKey);
  return Math.max(1, work.promptTokens - (isCached ? (prefixTokens ?? 0) : 0));
}

/** Predicts the times of one stage. `chainLength` is the number of stages that each token passes. */
export function estimateStage(
  stage: StageView,
  work: WorkEstimate,
  now: number,
  chainLength: number,
): StageEstimate {
  const factor = uncertaintyFactor(stage);
  const tokens = promptTokensToCompute(stage, work);
  const compute = tokens * stage.prefillMillisecondsPerToken * factor;
  const step = stage.decodeMilliseconds * factor + stage.linkMilliseconds;
  const overrunMilliseconds =
    OVERRUN_SHARE * chainLength * step * work.outputTokens;
  return {
    stage,
    waitMilliseconds:
      slotWaitMilliseconds(stage, now, overrunMilliseconds) * factor,
    prefill: compute + stage.linkMilliseconds,
    step,
  };
}

/** Predicts the times of a chain. It starts when every stage has a free slot; each token passes all stages. */
export function predictPipeline(
  chain: readonly StageEstimate[],
  work: WorkEstimate,
): Prediction {
  let wait = 0;
  let prefill = 0;
  let step = 0;
  let ageMilliseconds = 0;
  for (const estimate of chain) {
    wait = Math.max(wait, estimate.waitMilliseconds);
    prefill += estimate.prefill;
    step += estimate.step;
    ageMilliseconds = Math.max(
      ageMilliseconds,
      estimate.stage.reportAgeMilliseconds,
    );
  }
  const firstTokenMilliseconds = wait + prefill;
  return {
    startsInMilliseconds: wait,
    firstTokenMilliseconds,
    betweenTokensMilliseconds: step,
    wholeMilliseconds:
      firstTokenMilliseconds + Math.max(0, work.outputTokens - 1) * step,
    figuresAgeMilliseconds: ageMilliseconds,
  };
}

interface PartialChain {
  readonly cost: number;
  readonly last: StageEstimate;
  readonly before: PartialChain | undefined;
}

/** The chain of any replicas' stages with the least total time over all layers, as a shortest path. */
function cheapestChain(
  estimates: readonly StageEstimate[],
  layerCount: number,
  work: WorkEstimate,
): readonly StageEstimate[] | undefined {
  const reached = new Map<number, PartialChain>();
  for (const estimate of estimates) {
    const {from, to} = estimate.stage.layers;
    const before = reached.get(from);
    if (to <= from || (from !== 0 && before === undefined)) {
      continue;
    }
    const ownCost =
      estimate.prefill + estimate.step * Math.max(0, work.outputTokens - 1);
    const cost = ownCost + (before?.cost ?? 0);
    const best = reached.get(to);
    if (best === undefined || cost < best.cost) {
      reached.set(to, {cost, last: estimate, before});
    }
  }
  const chain: StageEstimate[] = [];
  for (
    let partial = reached.get(layerCount);
    partial !== undefined;
    partial = partial.before
  ) {
    chain.unshift(partial.last);
  }
  return chain.length === 0 ? undefined : chain;
}

/** Groups estimates by replica and keeps their order. */
function groupByReplica(
  estimates: readonly StageEstimate[],
): readonly StageEstimate[][] {
  const groups = new Map<string, StageEstimate[]>();
  for (const estimate of estimates) {
    const group = groups.get(estimate.stage.replica);
    if (group === undefined) {
      groups.set(estimate.stage.replica, [estimate]);
    } else {
      group.push(estimate);
    }
  }
  return [...groups.values()];
}

/** Distinct waits in ascending order, thinned out to about `MAXIMUM_START_TIMES`. */
function candidateStartTimes(
  estimates: readonly StageEstimate[],
): readonly number[] {
  const waits = [
    ...new Set(estimates.map(estimate => estimate.waitMilliseconds)),
  ];
  waits.sort((a, b) => a - b);
  const stride = Math.max(1, Math.ceil(waits.length / MAXIMUM_START_TIMES));
  const lastIndex = waits.length - 1;
  return waits.filter(
    (_, index) => index % stride === 0 || index === lastIndex,
  );
}

/**
 * Finds candidate pipelines: the fastest chain within each replica and, for several start times, the
 * fastest chain across replicas of stages that are free by then. The latter uses the healthy stages
 * of replicas that have lost others.
 */
export function findPipelines(
  view: CellView,
  work: WorkEstimate,
  now: number,
): readonly Pipeline[] {
  const rangeCount = new Set(view.stages.map(stage => stage.layers.from)).size;
  const estimates = view.stages
    .filter(isUsable)
    .map(stage => estimateStage(stage, work, now, rangeCount))
    .sort((a, b) => a.stage.layers.from - b.stage.layers.from);
  const chains = groupByReplica(estimates).map(group =>
    cheapestChain(group, view.layerCount, work),
  );
  for (const start of candidateStartTimes(estimates)) {
    const available = estimates.filter(
      estimate => estimate.waitMilliseconds <= start,
    );
    chains.push(cheapestChain(available, view.layerCount, work));
  }
  return chains
    .filter(chain => chain !== undefined)
    .map(chain => ({
      stages: chain.map(estimate => estimate.stage),
      prediction: predictPipeline(chain, work),
    }));
}
