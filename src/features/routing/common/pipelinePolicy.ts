import {findPipelines, Pipeline} from './pipelineSearch.js';
import {
  CellView,
  NearestPipeline,
  RoutingDecision,
  RoutingPolicy,
  ShareView,
  WorkEstimate,
} from './routing.js';

/** Retry delay if the cell's usable stages don't cover all layers. */
const NO_PIPELINE_RETRY_MILLISECONDS = 1000;

/** Decision to run the work on a pipeline. */
export function admit(
  pipeline: Pipeline,
  candidates: number,
  reason: string,
): RoutingDecision {
  const stages = pipeline.stages.map(({upstream, address, layers}) => ({
    upstream,
    address,
    layers,
  }));
  const {prediction} = pipeline;
  return {kind: 'admit', stages, prediction, candidates, reason};
}

/** Decision to refuse the work until a retry after `retryAfterMilliseconds`. */
export function refuse(
  reason: 'cannotMeetTarget' | 'overShare' | 'noUpstream',
  retryAfterMilliseconds: number,
  candidates: number,
  nearest?: Pipeline,
): RoutingDecision {
  return {
    kind: 'refuse',
    reason,
    retryAfterMilliseconds,
    candidates,
    ...(nearest === undefined ? {} : {nearest: describe(nearest)}),
  };
}

function describe({prediction, stages}: Pipeline): NearestPipeline {
  return {
    prediction,
    stages: stages.map(stage => ({
      upstream: stage.upstream,
      sequenceLimit: stage.sequenceLimit,
      sequences: stage.expectedFinishTimes.length,
      decodeMilliseconds: stage.decodeMilliseconds,
      linkMilliseconds: stage.linkMilliseconds,
    })),
  };
}

/** Base class of policies that choose among predicted pipelines. */
export abstract class PipelinePolicy extends RoutingPolicy {
  override decide(
    view: CellView,
    shares: ShareView,
    work: WorkEstimate,
    now: number,
  ): RoutingDecision {
    const pipelines = findPipelines(view, work, now);
    if (pipelines.length === 0) {
      return refuse('noUpstream', NO_PIPELINE_RETRY_MILLISECONDS, 0);
    }
    return this.decideAmong(pipelines, view, shares, work, now);
  }

  /** Decides among at least one pipeline; some may not meet the targets. */
  protected abstract decideAmong(
    pipelines: readonly Pipeline[],
    view: CellView,
    shares: ShareView,
    work: WorkEstimate,
    now: number,
  ): RoutingDecision;
}
