import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {Reservation, StageObservation, WorkEstimate} from './routing.js';

/** Messages between a requester and the owner of a cell. All times are relative: no clock is shared. */

/** What an owner tells of one model in one cell. */
export interface SummaryNote {
  readonly cell: string;
  readonly model: string;
  readonly freeSlots: number;
  readonly earliestStartMilliseconds: number;
  /** Milliseconds since the owner made it. */
  readonly ageMilliseconds: number;
}

/** Returns one reservation. */
export interface ReleaseNote {
  readonly cell: string;
  readonly reservationId: string;
  readonly observations: readonly StageObservation[];
}

/** Asks for capacity in one cell. */
export interface ReserveCall {
  readonly cell: string;
  readonly model: string;
  /** Named by the requester, so that a repeated call makes one reservation. */
  readonly reservationId: string;
  readonly work: WorkEstimate;
  /** Upstreams that must not be used. */
  readonly excluded: readonly string[];
  /** Returned capacity that travels along. */
  readonly releases: readonly ReleaseNote[];
}

/** Asks for other stages in place of a reservation, which ends if they are found. */
export interface ReplanCall extends ReserveCall {
  readonly replaces: string;
}

/** The owner's answer. */
export type ReserveAnswer =
  | {
      readonly kind: 'reserved';
      readonly reservation: Reservation;
      readonly summaries: readonly SummaryNote[];
    }
  | {
      readonly kind: 'refused';
      readonly reason: 'cannotMeetTarget' | 'overShare' | 'noUpstream';
      readonly retryAfterMilliseconds: number;
      readonly summaries: readonly SummaryNote[];
    };

/** Reports that a stage failed, before the release. */
export interface FailureNote {
  readonly cell: string;
  readonly reservationId: string;
  readonly observation: StageObservation;
}

/** Answers for cells; those decided in this process and those of a peer look alike. */
export abstract class CellAuthority extends DisposableOwner {
  abstract reserve(
    call: ReserveCall,
    signal: AbortSignal,
  ): Promise<ReserveAnswer>;

  abstract replan(
    call: ReplanCall,
    signal: AbortSignal,
  ): Promise<ReserveAnswer>;

  abstract release(notes: readonly ReleaseNote[]): void;

  abstract reportFailure(note: FailureNote): void;

  /** Summaries of cells that the authority holds or heard of, those of the model first if one is named. */
  abstract summaries(
    model: string | undefined,
    signal: AbortSignal,
  ): Promise<readonly SummaryNote[]>;
}
