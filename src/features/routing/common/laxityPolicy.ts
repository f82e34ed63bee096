import {admit, PipelinePolicy, refuse} from './pipelinePolicy.js';
import {Pipeline} from './pipelineSearch.js';
import {CellView, RoutingDecision, ShareView, WorkEstimate} from './routing.js';
import {ShareStanding, shareStanding} from './shareStanding.js';
import {mustLeaveSlots} from './slotReserve.js';

/** How one of several pipelines that are in time is chosen. */
export type PipelineChoice = (typeof pipelineChoices)[number];

/** The slowest, the fastest, the first to its first token; or the slowest for a loose token target, else the fastest. */
export const pipelineChoices = [
  'bestFit',
  'earliestFinish',
  'leastPrefill',
  'byTightness',
] as const;

/** Milliseconds before a caller comes back where even an idle pipeline would be too slow. */
const TOO_SLOW_RETRY_MILLISECONDS = 5000;
/** Token target over predicted time from which work counts as loose. */
const LOOSE_RATIO = 2;
/** Contention from which waits are stretched in full; then the factor with and without contention. */
const FULL_CONTENTION = 0.1;
const CAREFUL_WAIT = 1.6;
const BOLD_WAIT = 0.7;
const SHORTEST_RETRY_MILLISECONDS = 20;
/** Part of each target kept back for what the prediction doesn't see. */
const SAFETY = 0.05;
/**
 * Milliseconds that the start could still be put off without missing a target; negative if late.
 * `waitFactor` stretches the predicted wait.
 */
export function laxity(
  pipeline: Pipeline,
  work: WorkEstimate,
  waitFactor: number,
): number {
  const {prediction} = pipeline;
  if (!meetsTokenTarget(pipeline, work)) {
    return -Infinity;
  }
  const keep = 1 - SAFETY;
  const stretch = (waitFactor - 1) * prediction.startsInMilliseconds;
  const first =
    work.firstTokenWithin * keep - prediction.firstTokenMilliseconds;
  const whole = work.deadlineWithin * keep - prediction.wholeMilliseconds;
  return Math.min(first, whole) - stretch;
}

/**
 * Finish times of others are the least certain figures. While slots are plentiful, work that may
 * be late costs nobody; where others are turned away it must be fairly sure to be on time.
 */
function waitFactorAt(contention: number): number {
  const part = Math.min(1, contention / FULL_CONTENTION);
  return BOLD_WAIT + part * (CAREFUL_WAIT - BOLD_WAIT);
}

/**
 * Takes work only where it can still be on time (laxity of at least zero), else refuses at once
 * and says when a slot will be early enough. After the laxity test of Shin and Hou, made
 * per pipeline and per token target. An account over its share may fill idle slots only and leaves
 * some free.
 */
export class LaxityPolicy extends PipelinePolicy {
  override readonly name: string;

  constructor(private readonly choice: PipelineChoice = 'byTightness') {
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
    if (work.inProgress === true) {
      return this.decideInProgress(pipelines, work);
    }
    const standing = shareStanding(shares, work);
    const waitFactor = waitFactorAt(standing.contention);
    const inTime = pipelines.filter(one => laxity(one, work, waitFactor) >= 0);
    if (inTime.length === 0) {
      const after = comeBackAfter(pipelines, work, waitFactor);
      return refuse('cannotMeetTarget', after, candidates);
    }
    const allowed = isOver(standing)
      ? inTime.filter(
          one =>
            startsNow(one) &&
            !mustLeaveSlots(one, pipelines, shares, standing, work, now),
        )
      : inTime;
    if (allowed.length === 0) {
      return refuse('overShare', nextFinish(view, now), candidates);
    }
    return admit(this.choose(allowed, work), candidates, this.name);
  }

  /**
   * Work that lost its stages goes on wherever it ends soonest, whatever its share: what was done
   * for it is lost otherwise. Proven pipelines with the token target met come first.
   */
  private decideInProgress(
    pipelines: readonly Pipeline[],
    work: WorkEstimate,
  ): RoutingDecision {
    const whole = (one: Pipeline): number => one.prediction.wholeMilliseconds;
    const candidates = pipelines.length;
    const due = pipelines.filter(one => whole(one) <= work.deadlineWithin);
    if (due.length === 0) {
      return refuse(
        'cannotMeetTarget',
        TOO_SLOW_RETRY_MILLISECONDS,
        candidates,
      );
    }
    const proven = preferring(due, one => !isProbe(one));
    const steady = preferring(proven, one => meetsTokenTarget(one, work));
    return admit(leastBy(steady, whole), candidates, 'work in progress');
  }

  /** A free slot is certain and a predicted one is not, so those that start at once come first. */
  private choose(inTime: readonly Pipeline[], work: WorkEstimate): Pipeline {
    const free = inTime.filter(
      one => one.prediction.startsInMilliseconds === 0,
    );
    if (free.length === 0) {
      return leastBy(inTime, one => one.prediction.startsInMilliseconds);
    }
    const whole = (one: Pipeline): number => one.prediction.wholeMilliseconds;
    switch (this.choice) {
      case 'earliestFinish':
        return leastBy(free, whole);
      case 'leastPrefill':
        return leastBy(free, one => one.prediction.firstTokenMilliseconds);
      case 'bestFit':
        return leastBy(free, one => -whole(one));
      case 'byTightness':
        return free.every(one => isLoose(one, work))
          ? leastBy(free, one => -whole(one))
          : leastBy(free, whole);
    }
  }
}

/** Whether the token target is far above a pipeline's time between tokens. */
function isLoose(pipeline: Pipeline, work: WorkEstimate): boolean {
  const step = pipeline.prediction.betweenTokensMilliseconds;
  return work.betweenTokensTarget >= LOOSE_RATIO * step;
}

/** Whether an account has had more than its share while others are turned away. */
function isOver({excess, contention}: ShareStanding): boolean {
  return excess > 0 && contention > 0;
}

function startsNow(pipeline: Pipeline): boolean {
  return pipeline.prediction.startsInMilliseconds <= 0;
}

/** Whether a pipeline has a stage that is being probed. */
function isProbe(pipeline: Pipeline): boolean {
  return pipeline.stages.some(stage => stage.health === 'probing');
}

function meetsTokenTarget(pipeline: Pipeline, work: WorkEstimate): boolean {
  const step = pipeline.prediction.betweenTokensMilliseconds;
  return step <= work.betweenTokensTarget;
}

/** The members that pass a test, or all if none does. */
function preferring<T>(
  members: readonly T[],
  test: (member: T) => boolean,
): readonly T[] {
  const passing = members.filter(test);
  return passing.length > 0 ? passing : members;
}

/** The member with the least cost; the first of equals. */
function leastBy<T>(members: readonly T[], cost: (member: T) => number): T {
  return members.reduce((best, one) => (cost(one) < cost(best) ? one : best));
}

/** When the same work, sent anew, would find a slot that is early enough. */
function comeBackAfter(
  pipelines: readonly Pipeline[],
  work: WorkEstimate,
  waitFactor: number,
): number {
  const waits = pipelines
    .filter(one => laxity(one, work, 0) >= 0)
    .map(one => -laxity(one, work, waitFactor) / waitFactor);
  if (waits.length === 0) {
    return TOO_SLOW_RETRY_MILLISECONDS;
  }
  return Math.max(SHORTEST_RETRY_MILLISECONDS, Math.min(...waits));
}

/** Milliseconds until the next sequence of the cell ends. */
function nextFinish(view: CellView, now: number): number {
  const finishes = view.stages
    .map(stage => stage.busyUntil.find(finish => finish > now))
    .filter(finish => finish !== undefined);
  const next = finishes.length === 0 ? 0 : Math.min(...finishes) - now;
  return Math.max(SHORTEST_RETRY_MILLISECONDS, next);
}
