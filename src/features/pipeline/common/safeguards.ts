import {
  StepReceipt,
  StepRequest,
} from '../../../infrastructure/engine/common/engineConnection.js';
import {EngineRecord} from './attemptLedger.js';
import {LineageChecker, LineageFault} from './lineageChecker.js';

/** The rules that keep a reply correct through failures; tests replace one to show what it prevents. */
export abstract class Safeguards {
  /** Checks the answer to a step before anything is made of it. */
  abstract checkReceipt(
    lineage: LineageChecker,
    step: StepRequest,
    receipt: StepReceipt,
  ): LineageFault | undefined;

  /** Checks the whole lineage before a token is released. */
  abstract checkRelease(lineage: LineageChecker): LineageFault | undefined;

  /** The epoch of the next attempt, above all that engines are known to have seen. */
  abstract nextEpoch(epoch: number, highestSeen: number): number;

  /** Whether an engine may be handed a step of a new epoch. */
  abstract mayEnter(record: EngineRecord, checksFencing: boolean): boolean;
}

/** The rules in use. */
export class StrictSafeguards extends Safeguards {
  override checkReceipt(
    lineage: LineageChecker,
    step: StepRequest,
    receipt: StepReceipt,
  ): LineageFault | undefined {
    return lineage.add(step, receipt);
  }

  override checkRelease(lineage: LineageChecker): LineageFault | undefined {
    return lineage.finish();
  }

  override nextEpoch(epoch: number, highestSeen: number): number {
    return Math.max(epoch, highestSeen) + 1;
  }

  override mayEnter(record: EngineRecord, checksFencing: boolean): boolean {
    return checksFencing || !record.inDoubt;
  }
}
