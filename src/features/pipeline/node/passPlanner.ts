import {Clock} from '../../../base/common/clock.js';
import {ModelRequest} from '../../requests/common/request.js';
import {StepTimeouts} from '../common/stepTimeouts.js';
import {RunState} from './runState.js';
import {StageSet} from './stageSet.js';
import {TokenPass} from './passRunner.js';

/** Determines positions, priority and time-out of the next pass through the stages. */
export class PassPlanner {
  constructor(
    private readonly request: ModelRequest,
    private readonly state: RunState,
    private readonly stages: StageSet,
    private readonly timeouts: StepTimeouts,
    private readonly clock: Clock,
  ) {}

  /** The next pass covers all positions that any stage lacks, and at least the last one. */
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
      isRebuild: from < state.computedTo,
      priority: isDecode
        ? request.classOfWork.betweenTokensMilliseconds
        : this.prefillPriority(),
      timeoutMilliseconds: isDecode
        ? undefined
        : this.prefillTimeout(to - from),
    };
  }

  /** Milliseconds until the first token is due. */
  private prefillPriority(): number {
    const {firstTokenMilliseconds} = this.request.classOfWork;
    const dueAt = this.request.arrivedAt + firstTokenMilliseconds;
    return Math.max(0, Math.round(dueAt - this.clock.monotonicMilliseconds()));
  }

  private prefillTimeout(positions: number): number {
    const {firstTokenMilliseconds} = this.request.classOfWork;
    const predicted =
      this.state.reservation?.prediction.firstTokenMilliseconds ?? 0;
    return this.timeouts.prefillTimeoutMilliseconds(
      positions,
      this.state.promptLength,
      Math.max(firstTokenMilliseconds, predicted),
    );
  }
}
