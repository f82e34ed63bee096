import {CellView, Prediction, StageView, WorkEstimate} from './routing.js';

/** Predicts and searches pipelines: chains of stages that cover all layers of a model. */

/** Time figures of one stage for one piece of work; milliseconds. */
export interface TimedStage {
  readonly stage: StageView;
  /** Wait until a slot is free. */
  readonly wait: number;
  readonly prefill: number;
  /** One decode step and its hop. */
  readonly step: number;
}

/** A chain of stages with its prediction. */
export interface Pipeline {
  readonly stages: readonly StageView[];
  readonly prediction: Prediction;
}

/** Most start times for which a mixed chain is sought. */
const MAXIMUM_STARTS = 8;
/** Widening of compute and wait for each second of a figure's age. */
const WIDENING_PER_SECOND = 0.02;
/** Longest time past its expected finish that a sequence takes, over the time of the work at hand. */
const OVERRUN_SHARE = 0.1;
const MAXIMUM_AGE_MILLISECONDS = 5000;

/** Whether new work may go to a stage at all. */
export function isUsable(stage: StageView): boolean {
  if (stage.leaving || stage.health === 'quarantined') {
    return false;
  }
  return stage.health === 'healthy' || stage.busyUntil.length === 0;
}

/**
 * Milliseconds until one more sequence can be resident: the finish that leaves one below the
 * limit. Sequences past their expected finish are taken to end evenly over `overrun` from now.
 */
export function waitForSlot(
  stage: StageView,
  now: number,
  overrun: number,
): number {
  const probing = stage.health === 'probing';
  const limit = probing ? 1 : Math.max(1, Math.floor(stage.sequenceLimit));
  const ahead = stage.busyUntil.length - limit;
  if (ahead < 0) {
    return 0;
  }
  const overdue = stage.busyUntil.filter(finish => finish <= now).length;
  if (ahead < overdue) {
    return (overrun * (ahead + 1)) / (overdue + 1);
  }
  const uncertain = overdue === 0 ? 0 : overrun;
  return Math.max(uncertain, stage.busyUntil[ahead]! - now);
}

/** Factor that widens figures by their age. */
function widening(stage: StageView): number {
  const age = Math.min(MAXIMUM_AGE_MILLISECONDS, stage.reportAgeMilliseconds);
  return 1 + (WIDENING_PER_SECOND * age) / 1000;
}

/** The prompt tokens that a stage must compute: all but a prefix in its cache. */
function promptTokensToCompute(stage: StageView, work: WorkEstimate): number {
  const {prefixKey, prefixTokens} = work;
  const cached = prefixKey !== undefined && stage.cachedPrefixes.has(prefixKey);
  return Math.max(1, work.promptTokens - (cached ? (prefixTokens ?? 0) : 0));
}

/** Figures of a stage for a piece of work. */
export function timeStage(
  stage: StageView,
  work: WorkEstimate,
  now: number,
  chainLength: number,
): TimedStage {
  const factor = widening(stage);
  const tokens = promptTokensToCompute(stage, work);
  const compute = tokens * stage.prefillMillisecondsPerToken * factor;
  const step = stage.decodeMilliseconds * factor + stage.linkMilliseconds;
  const overrun = OVERRUN_SHARE * chainLength * step * work.outputTokens;
  return {
    stage,
    wait: waitForSlot(stage, now, overrun) * factor,
    prefill: compute + stage.linkMilliseconds,
    step,
  };
}

/** Predicts a chain: it starts when all its stages have a slot; each token passes all stages. */
export function predict(
  chain: readonly TimedStage[],
  work: WorkEstimate,
): Prediction {
  let wait = 0;
  let prefill = 0;
  let step = 0;
  let age = 0;
  for (const timed of chain) {
    wait = Math.max(wait, timed.wait);
    prefill += timed.prefill;
    step += timed.step;
    age = Math.max(age, timed.stage.reportAgeMilliseconds);
  }
  const first = wait + prefill;
  return {
    startsInMilliseconds: wait,
    firstTokenMilliseconds: first,
    betweenTokensMilliseconds: step,
    wholeMilliseconds: first + Math.max(0, work.outputTokens - 1) * step,
    figuresAgeMilliseconds: age,
  };
}

interface Partial {
  readonly cost: number;
  readonly last: TimedStage;
  readonly before: Partial | undefined;
}

/** The chain of least total time from layer 0 to the last, over any mix of stages (shortest path). */
function cheapestChain(
  stages: readonly TimedStage[],
  layerCount: number,
  work: WorkEstimate,
): readonly TimedStage[] | undefined {
  const reached = new Map<number, Partial>();
  for (const timed of stages) {
    const {from, to} = timed.stage.layers;
    const before = reached.get(from);
    if (to <= from || (from !== 0 && before === undefined)) {
      continue;
    }
    const own = timed.prefill + timed.step * Math.max(0, work.outputTokens - 1);
    const cost = own + (before?.cost ?? 0);
    const known = reached.get(to);
    if (known === undefined || cost < known.cost) {
      reached.set(to, {cost, last: timed, before});
    }
  }
  const chain: TimedStage[] = [];
  for (let at = reached.get(layerCount); at !== undefined; at = at.before) {
    chain.unshift(at.last);
  }
  return chain.length === 0 ? undefined : chain;
}

/** Groups by replica, keeping the order. */
function byReplica(stages: readonly TimedStage[]): readonly TimedStage[][] {
  const groups = new Map<string, TimedStage[]>();
  for (const timed of stages) {
    const group = groups.get(timed.stage.replica);
    if (group === undefined) {
      groups.set(timed.stage.replica, [timed]);
    } else {
      group.push(timed);
    }
  }
  return [...groups.values()];
}

/** Distinct waits, ascending, thinned to a bounded number. */
function startTimes(stages: readonly TimedStage[]): readonly number[] {
  const waits = [...new Set(stages.map(timed => timed.wait))];
  waits.sort((a, b) => a - b);
  const stride = Math.max(1, Math.ceil(waits.length / MAXIMUM_STARTS));
  const last = waits.length - 1;
  return waits.filter((_, index) => index % stride === 0 || index === last);
}

/**
 * The pipelines worth comparing: each replica's own chain, and for several start times the fastest
 * mix of stages that are free by then, so that the rest of a broken replica is still used.
 */
export function findPipelines(
  view: CellView,
  work: WorkEstimate,
  now: number,
): readonly Pipeline[] {
  const ranges = new Set(view.stages.map(stage => stage.layers.from)).size;
  const timed = view.stages
    .filter(isUsable)
    .map(stage => timeStage(stage, work, now, ranges))
    .sort((a, b) => a.stage.layers.from - b.stage.layers.from);
  const chains = byReplica(timed).map(group =>
    cheapestChain(group, view.layerCount, work),
  );
  for (const start of startTimes(timed)) {
    const free = timed.filter(one => one.wait <= start);
    chains.push(cheapestChain(free, view.layerCount, work));
  }
  return chains
    .filter(chain => chain !== undefined)
    .map(chain => ({
      stages: chain.map(one => one.stage),
      prediction: predict(chain, work),
    }));
}
