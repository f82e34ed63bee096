import {EngineError} from '../../../infrastructure/engine/common/engineConnection.js';
import {StageObservation} from '../../routing/common/routing.js';
import {EngineExecutionRecord} from './executionTracker.js';

/** Why a step has no usable response. */
export type StepError =
  | EngineError
  /** The engine did not respond within the time-out; the step may have run. */
  | {readonly kind: 'silent'; readonly afterMilliseconds: number}
  /** The run ended while the step was in flight; the step may have run. */
  | {readonly kind: 'ended'};

/** What a failed step means for the engine's record and statistics. */
export interface FailureClassification {
  /** Whether the step is known not to have started. */
  readonly isNotBegun: boolean;
  readonly outcome: StageObservation['outcome'];
}

export function classifyFailure(
  kind: StepError['kind'],
): FailureClassification {
  switch (kind) {
    case 'unreachable':
      return {isNotBegun: true, outcome: 'failed'};
    case 'stale':
    case 'cacheMissing':
    case 'overloaded':
    case 'refused':
      return {isNotBegun: true, outcome: 'refused'};
    case 'lost':
    case 'mismatch':
      return {isNotBegun: false, outcome: 'failed'};
    case 'silent':
      return {isNotBegun: false, outcome: 'silent'};
    case 'cancelled':
    case 'ended':
      return {isNotBegun: false, outcome: 'cancelled'};
  }
}

/** Whether an engine may have ended under a request that it was running. */
export function mayHaveEnded(
  kind: StepError['kind'],
  /** Positions that the engine had computed. */
  coveredTo: number,
): boolean {
  switch (kind) {
    case 'lost':
    case 'silent':
      return true;
    case 'unreachable':
      return coveredTo > 0;
    default:
      return false;
  }
}

/** Records a failed step for its engine. */
export function recordFailure(
  record: EngineExecutionRecord,
  error: StepError,
  epoch: number,
): void {
  if (classifyFailure(error.kind).isNotBegun) {
    record.refused();
  } else {
    record.lost();
  }
  if (hasForeignEpoch(error, epoch)) {
    record.foreignEpochSeen();
  }
}

/** Whether the engine has seen an epoch of this request that another driver used. */
export function hasForeignEpoch(error: StepError, epoch: number): boolean {
  return error.kind === 'stale' && error.highest > epoch;
}
