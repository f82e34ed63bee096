import {EngineError} from '../../../infrastructure/engine/common/engineConnection.js';
import {StageObservation} from '../../routing/common/routing.js';
import {EngineRecord} from './attemptLedger.js';

/** Why a step brought no usable answer. */
export type StepError =
  | EngineError
  /** No answer came within the limit; it may have run. */
  | {readonly kind: 'silent'; readonly afterMilliseconds: number}
  /** The run ended while the step was in flight; it may have run. */
  | {readonly kind: 'ended'};

/** How a failed step is treated. */
export interface FailureTreatment {
  /** Whether the step surely did not begin. */
  readonly notBegun: boolean;
  readonly outcome: StageObservation['outcome'];
}

/** The treatment of each kind of error. */
export function treatmentOf(kind: StepError['kind']): FailureTreatment {
  switch (kind) {
    case 'unreachable':
      return {notBegun: true, outcome: 'failed'};
    case 'stale':
    case 'cacheMissing':
    case 'overloaded':
    case 'refused':
      return {notBegun: true, outcome: 'refused'};
    case 'lost':
    case 'mismatch':
      return {notBegun: false, outcome: 'failed'};
    case 'silent':
      return {notBegun: false, outcome: 'silent'};
    case 'cancelled':
    case 'ended':
      return {notBegun: false, outcome: 'cancelled'};
  }
}

/** Enters a failed step into the record of its engine. */
export function recordFailure(
  record: EngineRecord,
  error: StepError,
  epoch: number,
): void {
  if (treatmentOf(error.kind).notBegun) {
    record.refused();
  } else {
    record.lost();
  }
  if (isForeign(error, epoch)) {
    record.seenElsewhere();
  }
}

/** Whether an engine has seen an epoch of this request that this driver never used. */
export function isForeign(error: StepError, epoch: number): boolean {
  return error.kind === 'stale' && error.highest > epoch;
}
