import {RandomSource} from '../../../base/common/randomSource.js';
import {pipelineLoad} from './leastLoadedPolicy.js';
import {Pipeline} from './pipelineSearch.js';
import {admit, PipelinePolicy} from './pipelinePolicy.js';
import {RoutingDecision} from './routing.js';

/** Baseline for comparison: admits all work, on the less loaded of two random pipelines. */
export class TwoChoicesPolicy extends PipelinePolicy {
  override readonly name = 'two choices, no admission';

  constructor(private readonly random: RandomSource) {
    super();
  }

  protected override decideAmong(
    pipelines: readonly Pipeline[],
  ): RoutingDecision {
    const first = pipelines[this.random.nextInteger(pipelines.length)]!;
    const second = pipelines[this.random.nextInteger(pipelines.length)]!;
    const chosen = pipelineLoad(second) < pipelineLoad(first) ? second : first;
    return admit(chosen, pipelines.length, this.name);
  }
}
