import {
  StepReceipt,
  StepRequest,
} from '../../../infrastructure/engine/common/engineConnection.js';

/** How a receipt deviates from the step that was sent. */
export type LineageFault =
  | 'crossedRequest'
  | 'otherEpoch'
  | 'otherLayers'
  | 'otherPositions'
  | 'wrongOutput'
  | 'layersOutOfOrder'
  | 'incomplete';

/**
 * Verifies that the receipts of one token cover all layers once, in order, in one epoch, and that each receipt matches
 * the step that was sent.
 */
export class LineageChecker {
  private step: StepRequest | undefined;
  private coveredTo = 0;

  /** Discards the receipts so far; the next receipt is the first of a new token. */
  startToken(): void {
    this.step = undefined;
    this.coveredTo = 0;
  }

  /** Adds the next receipt. A faulty receipt does not change the layers covered. */
  addReceipt(
    step: StepRequest,
    receipt: StepReceipt,
  ): LineageFault | undefined {
    const fault = this.findFault(step, receipt);
    if (fault === undefined) {
      this.step = step;
      this.coveredTo = receipt.layers.to;
    }
    return fault;
  }

  /** Returns undefined if all layers are covered, so that the token may be released. */
  checkComplete(): LineageFault | undefined {
    const isComplete =
      this.step !== undefined && this.coveredTo === this.step.layerCount;
    return isComplete ? undefined : 'incomplete';
  }

  private findFault(
    step: StepRequest,
    receipt: StepReceipt,
  ): LineageFault | undefined {
    return (
      findReceiptFault(step, receipt) ??
      this.findContinuityFault(step) ??
      findOutputFault(step, receipt)
    );
  }

  private findContinuityFault(step: StepRequest): LineageFault | undefined {
    const previous = this.step;
    if (step.layers.from !== this.coveredTo) {
      return 'layersOutOfOrder';
    }
    if (previous === undefined) {
      return undefined;
    }
    if (previous.requestId !== step.requestId) {
      return 'crossedRequest';
    }
    if (previous.epoch !== step.epoch) {
      return 'otherEpoch';
    }
    return areRangesEqual(previous.positions, step.positions)
      ? undefined
      : 'otherPositions';
  }
}

function findReceiptFault(
  step: StepRequest,
  receipt: StepReceipt,
): LineageFault | undefined {
  if (receipt.requestId !== step.requestId) {
    return 'crossedRequest';
  }
  if (receipt.epoch !== step.epoch) {
    return 'otherEpoch';
  }
  if (!areRangesEqual(receipt.layers, step.layers)) {
    return 'otherLayers';
  }
  return areRangesEqual(receipt.positions, step.positions)
    ? undefined
    : 'otherPositions';
}

function findOutputFault(
  step: StepRequest,
  receipt: StepReceipt,
): LineageFault | undefined {
  const isLastStage = step.layers.to === step.layerCount;
  const expected = isLastStage ? 'token' : 'activation';
  return receipt.output.kind === expected ? undefined : 'wrongOutput';
}

function areRangesEqual(
  left: {readonly from: number; readonly to: number},
  right: {readonly from: number; readonly to: number},
): boolean {
  return left.from === right.from && left.to === right.to;
}
