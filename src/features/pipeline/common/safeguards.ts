import {
  StepReceipt,
  StepRequest,
} from '../../../infrastructure/engine/common/engineConnection.js';
import {EngineExecutionRecord} from './executionTracker.js';
import {LineageChecker, LineageFault} from './lineageChecker.js';

/** Rules that keep a reply correct across failures. Tests disable single rules to show which fault each prevents. */
export abstract class Safeguards {
  /** Checks the receipt of a step before its output is used. */
  abstract checkReceipt(
    lineage: LineageChecker,
    step: StepRequest,
    receipt: StepReceipt,
  ): LineageFault | undefined;

  /** Checks that the lineage is complete before a token is released. */
  abstract checkRelease(lineage: LineageChecker): LineageFault | undefined;

  /** The epoch of the next attempt; it exceeds every epoch that an engine is known to have seen. */
  abstract nextEpoch(epoch: number, highestSeen: number): number;

  /** Whether a step of a new epoch may be sent to an engine. */
  abstract canEnterEpoch(
    record: EngineExecutionRecord,
    checksFencing: boolean,
  ): boolean;
}

/** The rules used in production. */
export class StrictSafeguards extends Safeguards {
  override checkReceipt(
    lineage: LineageChecker,
    step: StepRequest,
    receipt: StepReceipt,
  ): LineageFault | undefined {
    return lineage.addReceipt(step, receipt);
  }

  override checkRelease(lineage: LineageChecker): LineageFault | undefined {
    return lineage.checkComplete();
  }

  override nextEpoch(epoch: number, highestSeen: number): number {
    return Math.max(epoch, highestSeen) + 1;
  }

  override canEnterEpoch(
    record: EngineExecutionRecord,
    checksFencing: boolean,
  ): boolean {
    return checksFencing || !record.inDoubt;
  }
}
