import {admit, PipelinePolicy, refuse} from './pipelinePolicy.js';
import {Pipeline} from './pipelineSearch.js';
import {CellView, RoutingDecision, ShareView, WorkEstimate} from './routing.js';
import {FairShareStatus, assessFairShare} from './fairShareStatus.js';
import {isReservedForOthers} from './slotReserve.js';

/** Rule by which one of several pipelines that meet the targets is chosen. */
export type PipelineSelectionRule = (typeof pipelineSelectionRules)[number];

/** In order: slowest, fastest, earliest first token; slowest if the token target is loose, else fastest. */
export const pipelineSelectionRules = [
  'bestFit',
  'earliestFinish',
  'leastPrefill',
  'byTightness',
] as const;

/** Retry delay if even an idle pipeline would be too slow. */
const TOO_SLOW_RETRY_MILLISECONDS = 5000;
/** Ratio of token target to predicted time between tokens from which the target counts as loose. */
const LOOSE_TARGET_RATIO = 2;
/** Contention at and above which waits are scaled by `CONTENDED_WAIT_FACTOR`. */
const FULL_CONTENTION_SHARE = 0.1;
const CONTENDED_WAIT_FACTOR = 1.6;
const UNCONTENDED_WAIT_FACTOR = 0.7;
const MINIMUM_RETRY_MILLISECONDS = 20;
/** Share of each target reserved for delays that the prediction doesn't cover. */
const SAFETY_MARGIN = 0.05;

/**
 * Milliseconds by which the start can be delayed without missing a target; negative if one will be
 * missed. `waitFactor` scales the predicted wait, which is uncertain.
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
  const usableShare = 1 - SAFETY_MARGIN;
  const addedWait = (waitFactor - 1) * prediction.startsInMilliseconds;
  const firstTokenSlack =
    work.firstTokenWithinMilliseconds * usableShare -
    prediction.firstTokenMilliseconds;
  const deadlineSlack =
    work.deadlineWithinMilliseconds * usableShare -
    prediction.wholeMilliseconds;
  return Math.min(firstTokenSlack, deadlineSlack) - addedWait;
}

/**
 * Finish times of other sequences are the least certain inputs. While slots are plentiful, admitting
 * work that may be late harms no one. While others are refused, it must be likely to be on time.
 */
function waitFactorFor(contention: number): number {
  const contentionLevel = Math.min(1, contention / FULL_CONTENTION_SHARE);
  return (
    UNCONTENDED_WAIT_FACTOR +
    contentionLevel * (CONTENDED_WAIT_FACTOR - UNCONTENDED_WAIT_FACTOR)
  );
}

/**
 * Admits work only where it can still be on time (laxity of at least zero). Otherwise refuses it at
 * once, with the delay after which a slot will be free early enough. Based on the laxity test of Shin
 * and Hou, applied per pipeline and per token target. An account over its share may use only idle
 * slots and must leave some of them free.
 */
export class LaxityPolicy extends PipelinePolicy {
  override readonly name: string;

  constructor(
    private readonly selectionRule: PipelineSelectionRule = 'byTightness',
  ) {
    super();
    this.name = `laxity, ${selectionRule}`;
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
    const shareStatus = assessFairShare(shares, work);
    const waitFactor = waitFactorFor(shareStatus.contention);
    const inTime = pipelines.filter(
      pipeline => laxity(pipeline, work, waitFactor) >= 0,
    );
    if (inTime.length === 0) {
      const retryAfter = retryDelayMilliseconds(pipelines, work, waitFactor);
      const nearest = leastBy(
        pipelines,
        pipeline => -laxity(pipeline, work, waitFactor),
      );
      return refuse('cannotMeetTarget', retryAfter, candidates, nearest);
    }
    const allowed = isOverShare(shareStatus)
      ? inTime.filter(
          pipeline =>
            canStartNow(pipeline) &&
            !isReservedForOthers(
              pipeline,
              pipelines,
              shares,
              shareStatus,
              work,
              now,
            ),
        )
      : inTime;
    if (allowed.length === 0) {
      return refuse(
        'overShare',
        millisecondsToNextFinish(view, now),
        candidates,
      );
    }
    return admit(this.choose(allowed, work), candidates, this.name);
  }

  /**
   * Work that lost its stages continues where it finishes soonest, whatever its account's share, since
   * a refusal would waste what was computed. Pipelines without probing stages are preferred, among
   * them those that meet the token target.
   */
  private decideInProgress(
    pipelines: readonly Pipeline[],
    work: WorkEstimate,
  ): RoutingDecision {
    const totalTime = (pipeline: Pipeline): number =>
      pipeline.prediction.wholeMilliseconds;
    const candidates = pipelines.length;
    const beforeDeadline = pipelines.filter(
      pipeline => totalTime(pipeline) <= work.deadlineWithinMilliseconds,
    );
    if (beforeDeadline.length === 0) {
      return refuse(
        'cannotMeetTarget',
        TOO_SLOW_RETRY_MILLISECONDS,
        candidates,
      );
    }
    const withoutProbes = preferMatching(
      beforeDeadline,
      pipeline => !hasProbingStage(pipeline),
    );
    const preferred = preferMatching(withoutProbes, pipeline =>
      meetsTokenTarget(pipeline, work),
    );
    return admit(leastBy(preferred, totalTime), candidates, 'work in progress');
  }

  /** Prefers pipelines that can start at once: a free slot is certain, a predicted one is not. */
  private choose(inTime: readonly Pipeline[], work: WorkEstimate): Pipeline {
    const free = inTime.filter(
      pipeline => pipeline.prediction.startsInMilliseconds === 0,
    );
    if (free.length === 0) {
      return leastBy(
        inTime,
        pipeline => pipeline.prediction.startsInMilliseconds,
      );
    }
    const totalTime = (pipeline: Pipeline): number =>
      pipeline.prediction.wholeMilliseconds;
    switch (this.selectionRule) {
      case 'earliestFinish':
        return leastBy(free, totalTime);
      case 'leastPrefill':
        return leastBy(
          free,
          pipeline => pipeline.prediction.firstTokenMilliseconds,
        );
      case 'bestFit':
        return leastBy(free, pipeline => -totalTime(pipeline));
      case 'byTightness':
        return free.every(pipeline => hasLooseTarget(pipeline, work))
          ? leastBy(free, pipeline => -totalTime(pipeline))
          : leastBy(free, totalTime);
    }
  }
}

function hasLooseTarget(pipeline: Pipeline, work: WorkEstimate): boolean {
  const step = pipeline.prediction.betweenTokensMilliseconds;
  return work.betweenTokensTargetMilliseconds >= LOOSE_TARGET_RATIO * step;
}

/** Whether an account has used more than its share while other requests are refused. */
function isOverShare({excess, contention}: FairShareStatus): boolean {
  return excess > 0 && contention > 0;
}

function canStartNow(pipeline: Pipeline): boolean {
  return pipeline.prediction.startsInMilliseconds <= 0;
}

function hasProbingStage(pipeline: Pipeline): boolean {
  return pipeline.stages.some(stage => stage.health === 'probing');
}

function meetsTokenTarget(pipeline: Pipeline, work: WorkEstimate): boolean {
  const step = pipeline.prediction.betweenTokensMilliseconds;
  return step <= work.betweenTokensTargetMilliseconds;
}

/** The members that pass `test`, or all members if none does. */
function preferMatching<T>(
  members: readonly T[],
  test: (member: T) => boolean,
): readonly T[] {
  const passing = members.filter(test);
  return passing.length > 0 ? passing : members;
}

/** The member with the least cost; the first one on a tie. */
function leastBy<T>(members: readonly T[], cost: (member: T) => number): T {
  return members.reduce((best, member) =>
    cost(member) < cost(best) ? member : best,
  );
}

/** Delay after which the same work, if sent again, is expected to find a slot in time. */
function retryDelayMilliseconds(
  pipelines: readonly Pipeline[],
  work: WorkEstimate,
  waitFactor: number,
): number {
  const waits = pipelines
    .filter(pipeline => laxity(pipeline, work, 0) >= 0)
    .map(pipeline => -laxity(pipeline, work, waitFactor) / waitFactor);
  if (waits.length === 0) {
    return TOO_SLOW_RETRY_MILLISECONDS;
  }
  return Math.max(MINIMUM_RETRY_MILLISECONDS, Math.min(...waits));
}

/** Time until the first sequence of the cell is expected to finish. */
function millisecondsToNextFinish(view: CellView, now: number): number {
  const finishes = view.stages
    .map(stage => stage.expectedFinishTimes.find(finish => finish > now))
    .filter(finish => finish !== undefined);
  const next = finishes.length === 0 ? 0 : Math.min(...finishes) - now;
  return Math.max(MINIMUM_RETRY_MILLISECONDS, next);
}
