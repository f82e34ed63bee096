import {Pipeline} from './pipelineSearch.js';
import {admit, PipelinePolicy, refuse} from './pipelinePolicy.js';
import {RoutingDecision} from './routing.js';

/** A comparison: takes work on the pipeline that is free first unless its wait exceeds a fixed bound. */
export class StaticThresholdPolicy extends PipelinePolicy {
  override readonly name: string;

  constructor(private readonly longestWaitMilliseconds: number) {
    super();
    this.name = `static threshold, wait up to ${longestWaitMilliseconds} ms`;
  }

  protected override decideAmong(
    pipelines: readonly Pipeline[],
  ): RoutingDecision {
    const chosen = pipelines.reduce((best, one) =>
      one.prediction.startsInMilliseconds < best.prediction.startsInMilliseconds
        ? one
        : best,
    );
    const late =
      chosen.prediction.startsInMilliseconds - this.longestWaitMilliseconds;
    return late > 0
      ? refuse('cannotMeetTarget', late, pipelines.length)
      : admit(chosen, pipelines.length, this.name);
  }
}
