import {Pipeline} from './pipelineSearch.js';
import {admit, PipelinePolicy} from './pipelinePolicy.js';
import {RoutingDecision} from './routing.js';

/** Baseline for comparison: admits all work and cycles through the pipelines. */
export class RoundRobinPolicy extends PipelinePolicy {
  override readonly name = 'round robin, no admission';
  private turn = 0;

  protected override decideAmong(
    pipelines: readonly Pipeline[],
  ): RoutingDecision {
    this.turn += 1;
    const chosen = pipelines[this.turn % pipelines.length]!;
    return admit(chosen, pipelines.length, this.name);
  }
}
