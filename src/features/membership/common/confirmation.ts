import {Standing} from './systemView.js';

/** Decides whether this instance may accept new work under the configuration that it holds. */

/**
 * Maximum age of a status in outage counts, as a multiple of the confirmation bound. It may exceed the bound because
 * statuses count only while a majority can't reach the table.
 */
export const OUTAGE_STATUS_AGE_FACTOR = 2.5;

/** A read of the head row by any instance, timestamped on this instance's monotonic clock. */
export interface HeadObservation {
  /** The newest revision according to the head row. */
  readonly revision: number;
  /** Monotonic milliseconds; never later than the actual read. */
  readonly readAt: number;
}

/** How many instances report that they can't reach the table. */
export interface OutageCounts {
  /** Instances in the platform's list. */
  readonly listed: number;
  /** Instances that were confirmed at least once and can't reach the table, this one included. */
  readonly failed: number;
}

/** The inputs of the confirmation decision. */
export interface ConfirmationInput {
  readonly now: number;
  readonly boundMilliseconds: number;
  readonly appliedRevision: number;
  readonly knownRevision: number;
  /** Monotonic milliseconds at which the applied revision was last known to be the head; undefined if it never was. */
  readonly confirmedAt: number | undefined;
  readonly outageCounts: OutageCounts;
}

/** The decision, as an event of the instance's life cycle. */
export type Confirmation = 'confirmed' | 'unconfirmed';

/**
 * Confirms on a table read within the bound, or, if no newer revision is known, when a majority can't reach the table.
 */
export function decideConfirmation(input: ConfirmationInput): Confirmation {
  const {confirmedAt, now, boundMilliseconds} = input;
  if (confirmedAt !== undefined && now - confirmedAt <= boundMilliseconds) {
    return 'confirmed';
  }
  const isNewest = input.appliedRevision >= input.knownRevision;
  return isNewest && isMajority(input.outageCounts)
    ? 'confirmed'
    : 'unconfirmed';
}

function isMajority(outage: OutageCounts): boolean {
  return outage.listed > 0 && outage.failed * 2 > outage.listed;
}

/** Tracks the newest read of the head row and when the applied revision was last confirmed by one. */
export class ConfirmationTracker {
  private newestRead: HeadObservation | undefined;
  private confirmed: number | undefined;

  /** The newest known read by any instance. */
  get evidence(): HeadObservation | undefined {
    return this.newestRead;
  }

  /** Monotonic milliseconds at which the applied revision was last known to be the head. */
  get confirmedAt(): number | undefined {
    return this.confirmed;
  }

  /** Adds a read made by this instance or reported by a peer. */
  addObservation(observation: HeadObservation, appliedRevision: number): void {
    if (
      this.newestRead === undefined ||
      observation.readAt > this.newestRead.readAt
    ) {
      this.newestRead = observation;
    }
    this.confirmIfApplied(observation, appliedRevision);
    this.handleRevisionApplied(appliedRevision);
  }

  /** Confirms with the newest read if the revision that it found is now applied. */
  handleRevisionApplied(appliedRevision: number): void {
    if (this.newestRead !== undefined) {
      this.confirmIfApplied(this.newestRead, appliedRevision);
    }
  }

  private confirmIfApplied(
    observation: HeadObservation,
    appliedRevision: number,
  ): void {
    if (appliedRevision < observation.revision) {
      return;
    }
    if (this.confirmed === undefined || observation.readAt > this.confirmed) {
      this.confirmed = observation.readAt;
    }
  }
}

/** The states of the instance's life cycle. */
export type LifecycleState =
  'starting' | 'serving' | 'cutOff' | 'leaving' | 'stopped';

/** Maps a state of the life cycle to the standing that the view shows. */
export function toStanding(
  state: LifecycleState,
  sinceMilliseconds: number,
): Standing {
  switch (state) {
    case 'starting':
    case 'serving':
      return {kind: state};
    case 'cutOff':
      return {kind: 'cutOff', sinceMilliseconds};
    case 'leaving':
    case 'stopped':
      return {kind: 'leaving'};
  }
}
