import {Pipeline} from './pipelineSearch.js';
import {admit, PipelinePolicy} from './pipelinePolicy.js';
import {RoutingDecision, StageView} from './routing.js';

/** Ratio of sequences to slots at a stage. */
function stageLoad(stage: StageView): number {
  return stage.expectedFinishTimes.length / Math.max(1, stage.sequenceLimit);
}

/** Load of the busiest stage of a pipeline. */
export function pipelineLoad(pipeline: Pipeline): number {
  return Math.max(...pipeline.stages.map(stageLoad));
}

/** Baseline for comparison: admits all work, on the pipeline with the fewest sequences per slot. */
export class LeastLoadedPolicy extends PipelinePolicy {
  override readonly name = 'least loaded, no admission';

  protected override decideAmong(
    pipelines: readonly Pipeline[],
  ): RoutingDecision {
    const chosen = pipelines.reduce((best, pipeline) =>
      pipelineLoad(pipeline) < pipelineLoad(best) ? pipeline : best,
    );
    return admit(chosen, pipelines.length, this.name);
  }
}
