import {Clock} from '../../../base/common/clock.js';
import {ModelRequest} from '../../requests/common/request.js';
import {ProgressWatch} from '../common/progressWatch.js';
import {RunState} from './runState.js';
import {StageSet} from './stageSet.js';
import {TokenPass} from './tokenStepper.js';

/** Works out the next pass through the stages: positions, priority and time limit. */
export class PassPlanner {
  constructor(
    private readonly request: ModelRequest,
    private readonly state: RunState,
    private readonly stages: StageSet,
    private readonly watch: ProgressWatch,
    private readonly clock: Clock,
  ) {}

  /** All positions that some stage lacks, at least the last one. */
  next(): TokenPass {
    const {state, request} = this;
    const to = state.tokens.length;
    const from = Math.min(this.stages.coveredTo, to - 1);
    const isDecode = state.released > 0 && to - from === 1;
    return {
      epoch: state.epoch,
      from,
      to,
      tokens: state.tokens.slice(from, to),
      rebuild: from < state.steppedTo,
      priority: isDecode
        ? request.classOfWork.betweenTokensMilliseconds
        : this.prefillPriority(),
      limitMilliseconds: isDecode ? undefined : this.prefillLimit(to - from),
    };
  }

  /** Milliseconds until the first token is due; decode steps are due within the target between tokens. */
  private prefillPriority(): number {
    const {firstTokenMilliseconds} = this.request.classOfWork;
    const dueAt = this.request.arrivedAt + firstTokenMilliseconds;
    return Math.max(0, Math.round(dueAt - this.clock.monotonicMilliseconds()));
  }

  private prefillLimit(positions: number): number {
    const {firstTokenMilliseconds} = this.request.classOfWork;
    const predicted =
      this.state.reservation?.prediction.firstTokenMilliseconds ?? 0;
    return this.watch.prefillLimit(
      positions,
      this.state.promptLength,
      Math.max(firstTokenMilliseconds, predicted),
    );
  }
}
