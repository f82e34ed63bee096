import {findPipelines, Pipeline} from './pipelineSearch.js';
import {
  CellView,
  RoutingDecision,
  RoutingPolicy,
  ShareView,
  WorkEstimate,
} from './routing.js';

/** Milliseconds before a caller comes back where no pipeline exists at all. */
const NO_PIPELINE_RETRY_MILLISECONDS = 1000;

/** Takes the work on a pipeline. */
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

/** Refuses the work with a time to come back. */
export function refuse(
  reason: 'cannotMeetTarget' | 'overShare' | 'noUpstream',
  retryAfterMilliseconds: number,
  candidates: number,
): RoutingDecision {
  return {kind: 'refuse', reason, retryAfterMilliseconds, candidates};
}

/** Base of policies that choose among predicted pipelines; there is at least one when asked. */
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

  /** Decides among the pipelines that exist, in time or not. */
  protected abstract decideAmong(
    pipelines: readonly Pipeline[],
    view: CellView,
    shares: ShareView,
    work: WorkEstimate,
    now: number,
  ): RoutingDecision;
}
