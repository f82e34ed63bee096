import {Result} from '../../../base/common/result.js';
import {
  EngineError,
  StepReceipt,
  StepRequest,
} from '../../../infrastructure/engine/common/engineConnection.js';
import {PipelineDependencies} from './pipelineDependencies.js';

/** Counts and logs engine responses that are not used. */
export class DroppedResponses {
  constructor(
    private readonly dependencies: PipelineDependencies,
    private readonly requestId: string,
  ) {}

  /** Records a response that arrived after its step was abandoned; errors are ignored. */
  late(step: StepRequest, result: Result<StepReceipt, EngineError>): void {
    if (result.ok) {
      this.drop(step, 'late');
    }
  }

  /** Records a response that does not match its step. */
  faulty(step: StepRequest, fault: string): void {
    this.drop(step, fault);
  }

  private drop(step: StepRequest, reason: string): void {
    this.dependencies.metrics.count('pipeline.droppedAnswers', 1, {reason});
    this.dependencies.logger.warn('engine response dropped', {
      requestId: this.requestId,
      epoch: step.epoch,
      layers: step.layers,
      positions: step.positions,
      reason,
    });
  }
}
