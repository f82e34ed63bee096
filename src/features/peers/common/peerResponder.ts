import {Emitter} from '../../../base/common/event.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {LocalState} from './localState.js';
import {
  AgedRecord,
  ExchangeResponse,
  ExchangeRequest,
  PeerNotice,
  PeerNoticeResponse,
  PeerSnapshot,
  RosterResponse,
} from './peerMessages.js';

/** Changed records are included in responses for this long, to reach instances that the sender could not. */
const RECORD_SHARING_MILLISECONDS = 20_000;
const SHARED_RECORD_LIMIT = 8;
/** Revisions with a larger serialized size are left to the table or a snapshot. */
const REVISION_RESPONSE_CHARACTERS = 16_000;

/** A notice of a peer that its member list changed, with the new fingerprint. */
export interface MembersNotice {
  readonly id: string;
  readonly members: string;
}

/** Responds to peers. Requests carry no ages: the receiver could not tell how long a request was delayed. */
export class PeerResponder extends DisposableOwner {
  private readonly learnedEmitter = this.register(new Emitter<void>());
  private readonly membersNoticeEmitter = this.register(
    new Emitter<MembersNotice>(),
  );
  private readonly recordChangedAt = new Map<string, number>();

  /** Fires when a request or notice of a peer may have changed the local state. */
  readonly onDidLearn = this.learnedEmitter.event;

  /** Fires when a peer announces that its member list changed. */
  readonly onDidReceiveMembersNotice = this.membersNoticeEmitter.event;

  constructor(private readonly state: LocalState) {
    super();
  }

  exchange(request: ExchangeRequest): ExchangeResponse {
    this.state.replica.observeRevision(request.revision);
    this.applyRecord(request.record);
    this.state.refreshOwnStatus();
    const evidence = this.state.confirmation.evidence;
    const now = this.state.clock.monotonicMilliseconds();
    const records = this.recentRecords(now, request.record.id);
    const hasSameMembers =
      request.members === this.state.memberList.fingerprint;
    return {
      record: this.state.record,
      revision: this.state.replica.knownRevision,
      evidence: evidence && {
        revision: evidence.revision,
        ageMilliseconds: Math.ceil(now - evidence.readAt),
      },
      roster: this.state.roster,
      statuses: this.state.statuses.encode(this.state.directory.ids, now),
      ...(hasSameMembers ? {} : this.memberDifferences(now)),
      ...this.revisionsAfter(request.revision),
      ...(records.length > 0 ? {records} : {}),
    };
  }

  notice(notice: PeerNotice): PeerNoticeResponse {
    this.applyRecord(notice.record);
    this.state.replica.observeRevision(notice.revision);
    this.state.replica.applyRevisions(notice.revisions ?? []);
    this.state.refreshOwnStatus();
    this.learnedEmitter.fire();
    if (notice.members !== undefined) {
      this.membersNoticeEmitter.fire({
        id: notice.record.id,
        members: notice.members,
      });
    }
    return {revision: this.state.replica.knownRevision};
  }

  roster(): RosterResponse {
    return {roster: this.state.roster, ids: this.state.directory.ids};
  }

  records(): readonly AgedRecord[] {
    this.state.refreshOwnStatus();
    const now = this.state.clock.monotonicMilliseconds();
    return this.state.directory.timestampedRecords().map(entry => ({
      record: entry.record,
      ageMilliseconds: Math.ceil(now - entry.observedAt),
    }));
  }

  snapshot(): PeerSnapshot {
    return {configuration: this.state.replica.current};
  }

  /** Marks a record as changed, so that responses include it for a while. */
  markRecordChanged(id: string): void {
    const now = this.state.clock.monotonicMilliseconds();
    this.recordChangedAt.delete(id);
    this.recordChangedAt.set(id, now);
    for (const [changedId, changedAt] of this.recordChangedAt) {
      const isOld = now - changedAt > RECORD_SHARING_MILLISECONDS;
      if (isOld || this.recordChangedAt.size > SHARED_RECORD_LIMIT) {
        this.recordChangedAt.delete(changedId);
      }
    }
  }

  private applyRecord(record: ExchangeRequest['record']): void {
    const now = this.state.clock.monotonicMilliseconds();
    if (this.state.directory.updateRecord(record, now)) {
      this.markRecordChanged(record.id);
      this.learnedEmitter.fire();
    }
  }

  private memberDifferences(
    now: number,
  ): Pick<ExchangeResponse, 'members' | 'memberChanges'> {
    const {memberList} = this.state;
    const memberChanges = memberList.recentChanges(now);
    const members = memberList.fingerprint;
    return memberChanges.length > 0 ? {members, memberChanges} : {members};
  }

  private recentRecords(
    now: number,
    requesterId: string,
  ): readonly AgedRecord[] {
    const records = this.state.directory
      .timestampedRecords()
      .filter(({record}) => this.hasChangedRecently(record.id, now))
      .filter(({record}) => record.id !== requesterId);
    return records.map(entry => ({
      record: entry.record,
      ageMilliseconds: Math.ceil(now - entry.observedAt),
    }));
  }

  private hasChangedRecently(id: string, now: number): boolean {
    const changedAt = this.recordChangedAt.get(id);
    return (
      changedAt !== undefined && now - changedAt <= RECORD_SHARING_MILLISECONDS
    );
  }

  private revisionsAfter(
    revision: number,
  ): Pick<ExchangeResponse, 'revisions' | 'snapshotNeeded'> {
    const revisions = this.state.replica.revisionsAfter(revision);
    if (revisions?.length === 0) {
      return {};
    }
    const fitsInResponse =
      revisions !== undefined &&
      JSON.stringify(revisions).length <= REVISION_RESPONSE_CHARACTERS;
    return fitsInResponse ? {revisions} : {snapshotNeeded: true};
  }
}
