import {Standing} from './systemView.js';

/** Decides whether this instance may take new work on the configuration that it holds. */

/** Statuses may be this many times older than the bound; they count only while the table is down for a majority. */
export const OUTAGE_EVIDENCE_FACTOR = 2.5;

/** A read of the head row by any instance, dated on this instance's monotonic clock. */
export interface TableEvidence {
  /** The head that was read. */
  readonly revision: number;
  /** Monotonic milliseconds; not later than the read. */
  readonly readAt: number;
}

/** What the peers say about the table. */
export interface OutageEvidence {
  /** Instances in the list. */
  readonly listed: number;
  /** Confirmed instances that can't reach the table, this one included. */
  readonly failed: number;
}

/** What the decision rests on. */
export interface ConfirmationInput {
  readonly now: number;
  readonly boundMilliseconds: number;
  readonly appliedRevision: number;
  readonly knownRevision: number;
  /** Monotonic milliseconds at which the revision held was the head; undefined when never confirmed. */
  readonly confirmedAt: number | undefined;
  readonly outage: OutageEvidence;
}

/** The outcome, as events of the instance's life cycle. */
export type Confirmation = 'confirmed' | 'unconfirmed';

/** Pure: confirmed by a table read within the bound, or by a majority that can't reach the table. */
export function decideConfirmation(input: ConfirmationInput): Confirmation {
  const {confirmedAt, now, boundMilliseconds} = input;
  if (confirmedAt !== undefined && now - confirmedAt <= boundMilliseconds) {
    return 'confirmed';
  }
  const isNewest = input.appliedRevision >= input.knownRevision;
  return isNewest && isMajority(input.outage) ? 'confirmed' : 'unconfirmed';
}

function isMajority(outage: OutageEvidence): boolean {
  return outage.listed > 0 && outage.failed * 2 > outage.listed;
}

/** Keeps the newest evidence from table reads. */
export class ConfirmationTracker {
  private newest: TableEvidence | undefined;
  private confirmed: number | undefined;

  /** The newest read that any instance is known to have made. */
  get evidence(): TableEvidence | undefined {
    return this.newest;
  }

  /** When the revision held was last known to be the head. */
  get confirmedAt(): number | undefined {
    return this.confirmed;
  }

  /** Takes a read by this or, through peers, by another instance. */
  note(evidence: TableEvidence, appliedRevision: number): void {
    if (this.newest === undefined || evidence.readAt > this.newest.readAt) {
      this.newest = evidence;
    }
    this.confirmWith(evidence, appliedRevision);
    this.noteApplied(appliedRevision);
  }

  /** Counts the newest evidence once the revision that it names was applied. */
  noteApplied(appliedRevision: number): void {
    if (this.newest !== undefined) {
      this.confirmWith(this.newest, appliedRevision);
    }
  }

  private confirmWith(evidence: TableEvidence, appliedRevision: number): void {
    if (appliedRevision < evidence.revision) {
      return;
    }
    if (this.confirmed === undefined || evidence.readAt > this.confirmed) {
      this.confirmed = evidence.readAt;
    }
  }
}

/** The standing that a state of the life cycle stands for. */
export type LifecycleState =
  'starting' | 'serving' | 'cutOff' | 'leaving' | 'stopped';

/** Turns a state of the life cycle into what callers of the view see. */
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
