import {admit, PipelinePolicy, refuse} from './pipelinePolicy.js';
import {Pipeline} from './pipelineSearch.js';
import {
  CellView,
  Prediction,
  RoutingDecision,
  ShareView,
  WorkEstimate,
} from './routing.js';
import {shareStanding} from './shareStanding.js';

/** How one of several pipelines that are in time is chosen. */
export type PipelineChoice = 'bestFit' | 'earliestFinish' | 'leastPrefill';

/** Milliseconds before a caller comes back where even an idle pipeline would be too slow. */
const TOO_SLOW_RETRY_MILLISECONDS = 5000;
const SHORTEST_RETRY_MILLISECONDS = 20;
/** Part of each target kept back for what the prediction doesn't see. */
const SAFETY = 0.05;

/** Milliseconds that the start could still be put off without missing a target; negative if late. */
export function laxity(pipeline: Pipeline, work: WorkEstimate): number {
  const {prediction} = pipeline;
  const keep = 1 - SAFETY;
  if (prediction.betweenTokensMilliseconds > work.betweenTokensTarget) {
    return -Infinity;
  }
  const first =
    work.firstTokenWithin * keep - prediction.firstTokenMilliseconds;
  const whole = work.deadlineWithin * keep - prediction.wholeMilliseconds;
  return Math.min(first, whole);
}

/** Free slots of the narrowest layer range: pipelines that could start at once. */
function freePipelines(view: CellView): {free: number; total: number} {
  const ranges = new Map<number, {free: number; total: number}>();
  for (const stage of view.stages) {
    if (stage.leaving || stage.health === 'quarantined') {
      continue;
    }
    const range = ranges.get(stage.layers.from) ?? {free: 0, total: 0};
    const limit = Math.max(1, Math.floor(stage.sequenceLimit));
    range.free += Math.max(0, limit - stage.busyUntil.length);
    range.total += limit;
    ranges.set(stage.layers.from, range);
  }
  let narrowest = {free: Infinity, total: Infinity};
  for (const range of ranges.values()) {
    narrowest = range.free < narrowest.free ? range : narrowest;
  }
  return narrowest;
}

/** Slots kept for accounts within their share, when one over its share asks. */
function slotsKept(
  shares: ShareView,
  work: WorkEstimate,
  total: number,
): number {
  const {excess, contention} = shareStanding(shares, work);
  if (excess <= 0 || contention <= 0) {
    return 0;
  }
  const strictness = Math.min(1, excess + contention);
  return Math.ceil(strictness * Math.sqrt(total));
}

/**
 * Takes work only where it can still be on time (laxity of at least zero), else refuses at once
 * and says when a slot will be early enough. After the laxity test of Shin and Hou, made
 * per pipeline and per token target. An account over its share may fill idle slots only and leaves
 * some free.
 */
export class LaxityPolicy extends PipelinePolicy {
  override readonly name: string;

  constructor(private readonly choice: PipelineChoice = 'bestFit') {
    super();
    this.name = `laxity, ${choice}`;
  }

  protected override decideAmong(
    pipelines: readonly Pipeline[],
    view: CellView,
    shares: ShareView,
    work: WorkEstimate,
    now: number,
  ): RoutingDecision {
    const candidates = pipelines.length;
    const inTime = pipelines.filter(one => laxity(one, work) >= 0);
    if (inTime.length === 0) {
      const after = comeBackAfter(pipelines, work);
      return refuse('cannotMeetTarget', after, candidates);
    }
    if (isOverShare(view, shares, work, inTime)) {
      return refuse('overShare', nextFinish(view, now), candidates);
    }
    return admit(this.choose(inTime), candidates, this.name);
  }

  /** A free slot is certain and a predicted one is not, so those that start at once come first. */
  private choose(inTime: readonly Pipeline[]): Pipeline {
    const free = inTime.filter(
      one => one.prediction.startsInMilliseconds === 0,
    );
    return free.length > 0
      ? leastBy(free, one => this.cost(one.prediction))
      : leastBy(inTime, one => one.prediction.startsInMilliseconds);
  }

  private cost(prediction: Prediction): number {
    switch (this.choice) {
      case 'bestFit':
        return -prediction.wholeMilliseconds;
      case 'earliestFinish':
        return prediction.wholeMilliseconds;
      case 'leastPrefill':
        return prediction.firstTokenMilliseconds;
    }
  }
}

/** The member with the least cost; the first of equals. */
function leastBy<T>(members: readonly T[], cost: (member: T) => number): T {
  return members.reduce((best, one) => (cost(one) < cost(best) ? one : best));
}

/** Whether the account is over its share and no slot beyond those kept for others is free. */
function isOverShare(
  view: CellView,
  shares: ShareView,
  work: WorkEstimate,
  inTime: readonly Pipeline[],
): boolean {
  const {free, total} = freePipelines(view);
  const kept = slotsKept(shares, work, total);
  if (kept === 0) {
    return false;
  }
  const startsNow = inTime.some(
    one => one.prediction.startsInMilliseconds <= 0,
  );
  return free <= kept || !startsNow;
}

/** When the same work, sent anew, would find a slot that is early enough. */
function comeBackAfter(
  pipelines: readonly Pipeline[],
  work: WorkEstimate,
): number {
  const lateness = pipelines
    .filter(one => laxity(one, work) + one.prediction.startsInMilliseconds >= 0)
    .map(one => -laxity(one, work));
  if (lateness.length === 0) {
    return TOO_SLOW_RETRY_MILLISECONDS;
  }
  return Math.max(SHORTEST_RETRY_MILLISECONDS, Math.min(...lateness));
}

/** Milliseconds until the next sequence of the cell ends. */
function nextFinish(view: CellView, now: number): number {
  const finishes = view.stages
    .map(stage => stage.busyUntil.find(finish => finish > now))
    .filter(finish => finish !== undefined);
  const next = finishes.length === 0 ? 0 : Math.min(...finishes) - now;
  return Math.max(SHORTEST_RETRY_MILLISECONDS, next);
}
