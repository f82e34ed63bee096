import {Clock} from '../../../base/common/clock.js';
import {ConfigurationReplica} from '../../configuration/common/configurationReplica.js';
import {
  ConfirmationTracker,
  OUTAGE_EVIDENCE_FACTOR,
  OutageCounts,
  HeadObservation,
} from '../../membership/common/confirmation.js';
import {
  InstanceDirectory,
  InstanceRecord,
} from '../../membership/common/instanceDirectory.js';
import {
  MergedMemberList,
  MemberChange,
} from '../../membership/common/mergedMemberList.js';
import {InstanceStatusTable} from '../../membership/common/statusTable.js';
import {rosterName} from './roster.js';

/** An instance heard of in this time runs, and counts as one that reads the list. */
const HEARD_MILLISECONDS = 60_000;

/** What this instance knows, shared by everything that talks to the table or to peers. */
export class LocalState {
  readonly statuses = new InstanceStatusTable();
  readonly book = new MergedMemberList();
  readonly directory = new InstanceDirectory();
  readonly confirmation = new ConfirmationTracker();
  private readonly startedAt: number;
  private own: InstanceRecord;
  private failedSince: number | undefined;
  private peerAnsweredAt: number | undefined;
  private rosterText = rosterName([]);

  constructor(
    readonly id: string,
    readonly replica: ConfigurationReplica,
    readonly clock: Clock,
    readonly boundMilliseconds: number,
  ) {
    this.startedAt = clock.monotonicMilliseconds();
    this.own = {id, incarnation: undefined, ready: false, leaving: false};
  }

  /** What this instance says of itself. */
  get record(): InstanceRecord {
    return this.own;
  }

  /** The name of the list that `statuses` follows. */
  get roster(): string {
    return this.rosterText;
  }

  /** Whether the platform's list shows this instance. */
  get isListed(): boolean {
    return this.directory.ids.includes(this.id);
  }

  /** When reads of the table began to fail; undefined while they work. */
  get tableFailedSince(): number | undefined {
    return this.failedSince;
  }

  /** Changes what this instance says of itself; returns whether it differs. */
  setRecord(change: Partial<InstanceRecord>): boolean {
    const before = this.own;
    this.own = {...before, ...change};
    this.noteSelf();
    return JSON.stringify(before) !== JSON.stringify(this.own);
  }

  /** Called after the book of members changed. */
  membersChanged(): void {
    const change = this.directory.applyList(this.book.members());
    if (!change.instancesChanged) {
      return;
    }
    this.rosterText = rosterName(this.directory.ids);
    this.statuses.keepOnly(this.directory.ids);
    this.noteSelf();
  }

  /** Takes what a peer told of members; returns whether the list differs. */
  takeMemberChanges(
    changes: readonly MemberChange[],
    askedAt: number,
  ): boolean {
    const now = this.clock.monotonicMilliseconds();
    const changed = this.book.takeChanges(changes, askedAt, now);
    if (changed) {
      this.membersChanged();
    }
    return changed;
  }

  /** A peer answered a question of this instance. */
  notePeerAnswer(): void {
    this.peerAnsweredAt = this.clock.monotonicMilliseconds();
  }

  /** Instances that read the list and tell each other, this one included; alone when no peer answered for so long. */
  sharers(silenceMilliseconds: number): number {
    const now = this.clock.monotonicMilliseconds();
    const {ids} = this.directory;
    const answeredAt = this.peerAnsweredAt ?? this.startedAt;
    if (now - answeredAt > silenceMilliseconds) {
      return 1;
    }
    // Not everybody can have been heard of soon after the start.
    const isNew = now - this.startedAt < HEARD_MILLISECONDS;
    const heard = this.statuses.countRecent(ids, now, HEARD_MILLISECONDS);
    return Math.max(1, isNew ? ids.length : heard);
  }

  /** Whether this instance or one that it reaches heard of an instance lately. */
  isHeardLately(id: string): boolean {
    const now = this.clock.monotonicMilliseconds();
    return this.statuses.countRecent([id], now, HEARD_MILLISECONDS) > 0;
  }

  /** A read of the head row ended well. */
  tableRead(evidence: HeadObservation): void {
    this.failedSince = undefined;
    this.noteEvidence(evidence);
  }

  /** A read of the head row failed. */
  tableFailed(): void {
    this.failedSince ??= this.clock.monotonicMilliseconds();
    this.noteSelf();
  }

  /** Takes a read of the head row by this or another instance. */
  noteEvidence(evidence: HeadObservation): void {
    this.replica.noteRevision(evidence.revision);
    this.confirmation.addObservation(evidence, this.replica.current.revision);
    this.noteSelf();
  }

  /** Refreshes this instance's own status and record. */
  noteSelf(): void {
    const heardAt = this.clock.monotonicMilliseconds();
    this.confirmation.handleRevisionApplied(this.replica.current.revision);
    this.statuses.update(this.id, {
      heardAt,
      isVoter: this.confirmation.confirmedAt !== undefined,
      hasFailedRead: this.failedSince !== undefined,
    });
    this.directory.updateRecord(this.own, heardAt);
  }

  /** How many of the listed instances said lately that they can't reach the table. */
  outageEvidence(): OutageCounts {
    const ids = this.directory.ids;
    const limit = this.boundMilliseconds * OUTAGE_EVIDENCE_FACTOR;
    const now = this.clock.monotonicMilliseconds();
    return {
      listed: ids.length,
      failed: this.statuses.countTableFailures(ids, now, limit),
    };
  }
}
