import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {Reservation, StageObservation, WorkEstimate} from './routing.js';

/** Messages between a requester and the owner of a cell. Times are relative, because processes share no clock. */

/** The free capacity for one model in one cell, as reported by the cell's owner. */
export interface SummaryMessage {
  readonly cell: string;
  readonly model: string;
  readonly freeSlots: number;
  readonly earliestStartMilliseconds: number;
  /** Time since the owner computed the summary. */
  readonly ageMilliseconds: number;
}

/** Releases one reservation. */
export interface ReleaseMessage {
  readonly cell: string;
  readonly reservationId: string;
  readonly observations: readonly StageObservation[];
}

/** Requests capacity in one cell. */
export interface ReserveRequest {
  readonly cell: string;
  readonly model: string;
  /** Chosen by the requester, so that a retried call doesn't create a second reservation. */
  readonly reservationId: string;
  readonly work: WorkEstimate;
  /** Ids of upstreams that must not be used. */
  readonly excluded: readonly string[];
  /** Releases of other reservations, sent along to save a call. */
  readonly releases: readonly ReleaseMessage[];
}

/** Requests other stages to replace a reservation. The reservation ends only if they are found. */
export interface ReplanRequest extends ReserveRequest {
  /** Id of the reservation to replace. */
  readonly replaces: string;
}

/** The owner's response to a request for capacity. */
export type ReserveResponse =
  | {
      readonly kind: 'reserved';
      readonly reservation: Reservation;
      readonly summaries: readonly SummaryMessage[];
    }
  | {
      readonly kind: 'refused';
      readonly reason: 'cannotMeetTarget' | 'overShare' | 'noUpstream';
      readonly retryAfterMilliseconds: number;
      readonly summaries: readonly SummaryMessage[];
    };

/** Reports a stage's failure, or a probed stage's first response, before the reservation is released. */
export interface FailureMessage {
  readonly cell: string;
  readonly reservationId: string;
  readonly observation: StageObservation;
}

/** Handles requests for cells, either in this process or by forwarding them to a peer. */
export abstract class CellAuthority extends DisposableOwner {
  abstract reserve(
    call: ReserveRequest,
    signal: AbortSignal,
  ): Promise<ReserveResponse>;

  abstract replan(
    call: ReplanRequest,
    signal: AbortSignal,
  ): Promise<ReserveResponse>;

  abstract release(releases: readonly ReleaseMessage[]): void;

  abstract reportFailure(failure: FailureMessage): void;

  /** Summaries of the cells that the authority holds or has learned of; those of `model` come first if it is given. */
  abstract summaries(
    model: string | undefined,
    signal: AbortSignal,
  ): Promise<readonly SummaryMessage[]>;
}
