import {Pipeline} from './pipelineSearch.js';
import {admit, PipelinePolicy, refuse} from './pipelinePolicy.js';
import {RoutingDecision} from './routing.js';

/** Baseline for comparison: admits work on the pipeline with the shortest wait unless that exceeds a fixed limit. */
export class StaticThresholdPolicy extends PipelinePolicy {
  override readonly name: string;

  constructor(private readonly maximumWaitMilliseconds: number) {
    super();
    this.name = `static threshold, wait up to ${maximumWaitMilliseconds} ms`;
  }

  protected override decideAmong(
    pipelines: readonly Pipeline[],
  ): RoutingDecision {
    const chosen = pipelines.reduce((best, pipeline) =>
      pipeline.prediction.startsInMilliseconds <
      best.prediction.startsInMilliseconds
        ? pipeline
        : best,
    );
    const excessMilliseconds =
      chosen.prediction.startsInMilliseconds - this.maximumWaitMilliseconds;
    return excessMilliseconds > 0
      ? refuse('cannotMeetTarget', excessMilliseconds, pipelines.length)
      : admit(chosen, pipelines.length, this.name);
  }
}
