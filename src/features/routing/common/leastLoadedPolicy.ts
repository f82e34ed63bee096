import {Pipeline} from './pipelineSearch.js';
import {admit, PipelinePolicy} from './pipelinePolicy.js';
import {RoutingDecision, StageView} from './routing.js';

/** Sequences for each slot at a stage. */
function stageLoad(stage: StageView): number {
  return stage.busyUntil.length / Math.max(1, stage.sequenceLimit);
}

/** Load of the busiest stage of a pipeline. */
export function pipelineLoad(pipeline: Pipeline): number {
  return Math.max(...pipeline.stages.map(stageLoad));
}

/** A comparison: takes all work, on the pipeline with the fewest sequences for each slot. */
export class LeastLoadedPolicy extends PipelinePolicy {
  override readonly name = 'least loaded, no admission';

  protected override decideAmong(
    pipelines: readonly Pipeline[],
  ): RoutingDecision {
    const chosen = pipelines.reduce((best, one) =>
      pipelineLoad(one) < pipelineLoad(best) ? one : best,
    );
    return admit(chosen, pipelines.length, this.name);
  }
}
