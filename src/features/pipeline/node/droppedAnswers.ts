import {Result} from '../../../base/common/result.js';
import {
  EngineError,
  StepReceipt,
  StepRequest,
} from '../../../infrastructure/engine/common/engineConnection.js';
import {PipelineDependencies} from './pipelineDependencies.js';

/** Counts and logs answers that are not used. */
export class DroppedAnswers {
  constructor(
    private readonly dependencies: PipelineDependencies,
    private readonly requestId: string,
  ) {}

  /** An answer came after its step was given up. */
  late(step: StepRequest, result: Result<StepReceipt, EngineError>): void {
    if (result.ok) {
      this.drop(step, 'late');
    }
  }

  /** An answer did not belong to its step. */
  faulty(step: StepRequest, fault: string): void {
    this.drop(step, fault);
  }

  private drop(step: StepRequest, reason: string): void {
    this.dependencies.metrics.count('pipeline.droppedAnswers', 1, {reason});
    this.dependencies.logger.warn('an answer of an engine was dropped', {
      requestId: this.requestId,
      epoch: step.epoch,
      layers: step.layers,
      positions: step.positions,
      reason,
    });
  }
}
