import {
  StepReceipt,
  StepRequest,
} from '../../../infrastructure/engine/common/engineConnection.js';

/** Why an answer is not the one that was asked for. */
export type LineageFault =
  | 'crossedRequest'
  | 'otherEpoch'
  | 'otherLayers'
  | 'otherPositions'
  | 'wrongOutput'
  | 'layersOutOfOrder'
  | 'incomplete';

/**
 * Verifies that the receipts of one token cover all layers once, in order, in one epoch.
 * A receipt must also be exactly the answer to the step that was sent.
 */
export class LineageChecker {
  private step: StepRequest | undefined;
  private coveredTo = 0;

  /** Forgets the receipts so far; the next one starts a token. */
  begin(): void {
    this.step = undefined;
    this.coveredTo = 0;
  }

  /** Takes the next receipt; a fault leaves the coverage as it was. */
  add(step: StepRequest, receipt: StepReceipt): LineageFault | undefined {
    const fault = this.faultOf(step, receipt);
    if (fault === undefined) {
      this.step = step;
      this.coveredTo = receipt.layers.to;
    }
    return fault;
  }

  /** Whether the token may be released. */
  finish(): LineageFault | undefined {
    const complete =
      this.step !== undefined && this.coveredTo === this.step.layerCount;
    return complete ? undefined : 'incomplete';
  }

  private faultOf(
    step: StepRequest,
    receipt: StepReceipt,
  ): LineageFault | undefined {
    return (
      answerFault(step, receipt) ??
      this.continuityFault(step) ??
      outputFault(step, receipt)
    );
  }

  private continuityFault(step: StepRequest): LineageFault | undefined {
    const first = this.step;
    if (step.layers.from !== this.coveredTo) {
      return 'layersOutOfOrder';
    }
    if (first === undefined) {
      return undefined;
    }
    if (first.requestId !== step.requestId) {
      return 'crossedRequest';
    }
    if (first.epoch !== step.epoch) {
      return 'otherEpoch';
    }
    return sameRange(first.positions, step.positions)
      ? undefined
      : 'otherPositions';
  }
}

function answerFault(
  step: StepRequest,
  receipt: StepReceipt,
): LineageFault | undefined {
  if (receipt.requestId !== step.requestId) {
    return 'crossedRequest';
  }
  if (receipt.epoch !== step.epoch) {
    return 'otherEpoch';
  }
  if (!sameRange(receipt.layers, step.layers)) {
    return 'otherLayers';
  }
  return sameRange(receipt.positions, step.positions)
    ? undefined
    : 'otherPositions';
}

function outputFault(
  step: StepRequest,
  receipt: StepReceipt,
): LineageFault | undefined {
  const last = step.layers.to === step.layerCount;
  const expected = last ? 'token' : 'activation';
  return receipt.output.kind === expected ? undefined : 'wrongOutput';
}

function sameRange(
  left: {readonly from: number; readonly to: number},
  right: {readonly from: number; readonly to: number},
): boolean {
  return left.from === right.from && left.to === right.to;
}
