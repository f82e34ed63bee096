import {findPipelines, Pipeline} from './pipelineSearch.js';
import {
  CellView,
  RoutingDecision,
  RoutingPolicy,
  ShareView,
  WorkEstimate,
} from './routing.js';
import {shareStanding} from './shareStanding.js';

/** How one of several pipelines that are in time is chosen. */
export type PipelineChoice = 'bestFit' | 'earliestFinish' | 'leastPrefill';

/** Milliseconds before a caller comes back where no pipeline exists at all. */
const NO_PIPELINE_RETRY_MILLISECONDS = 1000;
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
export class LaxityPolicy extends RoutingPolicy {
  override readonly name: string;

  constructor(private readonly choice: PipelineChoice = 'bestFit') {
    super();
    this.name = `laxity, ${choice}`;
  }

  override decide(
    view: CellView,
    shares: ShareView,
    work: WorkEstimate,
    now: number,
  ): RoutingDecision {
    const pipelines = findPipelines(view, work, now);
    const candidates = pipelines.length;
    if (candidates === 0) {
      const retryAfterMilliseconds = NO_PIPELINE_RETRY_MILLISECONDS;
      const reason = 'noUpstream';
      return {kind: 'refuse', reason, retryAfterMilliseconds, candidates};
    }
    const inTime = pipelines.filter(one => laxity(one, work) >= 0);
    if (inTime.length === 0) {
      const retryAfterMilliseconds = comeBackAfter(pipelines, work);
      const reason = 'cannotMeetTarget';
      return {kind: 'refuse', reason, retryAfterMilliseconds, candidates};
    }
    if (isOverShare(view, shares, work, inTime)) {
      const retryAfterMilliseconds = nextFinish(view, now);
      const reason = 'overShare';
      return {kind: 'refuse', reason, retryAfterMilliseconds, candidates};
    }
    const chosen = this.choose(inTime, work);
    return {
      kind: 'admit',
      stages: chosen.stages.map(({upstream, address, layers}) => ({
        upstream,
        address,
        layers,
      })),
      prediction: chosen.prediction,
      candidates,
      reason: this.name,
    };
  }

  private choose(inTime: readonly Pipeline[], work: WorkEstimate): Pipeline {
    const cost = (one: Pipeline): number => {
      const {prediction} = one;
      switch (this.choice) {
        case 'bestFit':
          return laxity(one, work);
        case 'earliestFinish':
          return prediction.wholeMilliseconds;
        case 'leastPrefill':
          return prediction.firstTokenMilliseconds;
      }
    };
    return inTime.reduce((best, one) => (cost(one) < cost(best) ? one : best));
  }
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
