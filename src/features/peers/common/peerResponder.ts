import {Emitter} from '../../../base/common/event.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {LocalState} from './localState.js';
import {
  AgedRecord,
  ExchangeAnswer,
  ExchangeRequest,
  PeerNotice,
  PeerNoticeAnswer,
  PeerSnapshot,
  RosterAnswer,
} from './peerMessages.js';

/** Records younger than this ride on answers, so that they reach instances that the sender could not. */
const RECORD_CARRY_MILLISECONDS = 20_000;
const RECORD_CARRY_LIMIT = 8;
/** Larger sets of revisions are read from the table or as a snapshot. */
const REVISION_CARRY_CHARACTERS = 16_000;

/** A peer whose list of members changed, and the fingerprint of the new one. */
export interface ToldMembers {
  readonly id: string;
  readonly members: string;
}

/** Answers peers. Ages in requests are never used: a request may be delayed by any time without notice. */
export class PeerResponder extends DisposableOwner {
  private readonly learned = this.register(new Emitter<void>());
  private readonly toldMembers = this.register(new Emitter<ToldMembers>());
  private readonly changes = new Map<string, number>();

  /** Fires when a peer told something new. */
  readonly onDidLearn = this.learned.event;

  /** Fires when a peer told that its list of members changed. */
  readonly onDidHearOfMembers = this.toldMembers.event;

  constructor(private readonly state: LocalState) {
    super();
  }

  exchange(request: ExchangeRequest): ExchangeAnswer {
    this.state.replica.noteRevision(request.revision);
    this.noteRecord(request.record);
    this.state.noteSelf();
    const evidence = this.state.confirmation.evidence;
    const now = this.state.clock.monotonicMilliseconds();
    const records = this.recentRecords(now, request.record.id);
    const isAskersList = request.members === this.state.book.fingerprint;
    return {
      record: this.state.record,
      revision: this.state.replica.knownRevision,
      evidence: evidence && {
        revision: evidence.revision,
        ageMilliseconds: Math.ceil(now - evidence.readAt),
      },
      roster: this.state.roster,
      statuses: this.state.statuses.encode(this.state.directory.ids, now),
      ...(isAskersList ? {} : this.members(now)),
      ...this.missing(request.revision),
      ...(records.length > 0 ? {records} : {}),
    };
  }

  notice(notice: PeerNotice): PeerNoticeAnswer {
    this.noteRecord(notice.record);
    this.state.replica.noteRevision(notice.revision);
    this.state.replica.applyRevisions(notice.revisions ?? []);
    this.state.noteSelf();
    this.learned.fire();
    if (notice.members !== undefined) {
      this.toldMembers.fire({id: notice.record.id, members: notice.members});
    }
    return {revision: this.state.replica.knownRevision};
  }

  roster(): RosterAnswer {
    return {roster: this.state.roster, ids: this.state.directory.ids};
  }

  records(): readonly AgedRecord[] {
    this.state.noteSelf();
    const now = this.state.clock.monotonicMilliseconds();
    return this.state.directory.timestampedRecords().map(dated => ({
      record: dated.record,
      ageMilliseconds: Math.ceil(now - dated.observedAt),
    }));
  }

  snapshot(): PeerSnapshot {
    return {configuration: this.state.replica.current};
  }

  /** Remembers that a record changed, so that it rides on answers for a while. */
  noteChange(id: string): void {
    const now = this.state.clock.monotonicMilliseconds();
    this.changes.delete(id);
    this.changes.set(id, now);
    for (const [changed, at] of this.changes) {
      const isOld = now - at > RECORD_CARRY_MILLISECONDS;
      if (isOld || this.changes.size > RECORD_CARRY_LIMIT) {
        this.changes.delete(changed);
      }
    }
  }

  private noteRecord(record: ExchangeRequest['record']): void {
    const now = this.state.clock.monotonicMilliseconds();
    if (this.state.directory.updateRecord(record, now)) {
      this.noteChange(record.id);
      this.learned.fire();
    }
  }

  private members(
    now: number,
  ): Pick<ExchangeAnswer, 'members' | 'memberChanges'> {
    const {book} = this.state;
    const memberChanges = book.recentChanges(now);
    const members = book.fingerprint;
    return memberChanges.length > 0 ? {members, memberChanges} : {members};
  }

  private recentRecords(now: number, asker: string): readonly AgedRecord[] {
    const records = this.state.directory
      .timestampedRecords()
      .filter(({record}) => this.isRecent(record.id, now))
      .filter(({record}) => record.id !== asker);
    return records.map(dated => ({
      record: dated.record,
      ageMilliseconds: Math.ceil(now - dated.observedAt),
    }));
  }

  private isRecent(id: string, now: number): boolean {
    const at = this.changes.get(id);
    return at !== undefined && now - at <= RECORD_CARRY_MILLISECONDS;
  }

  private missing(
    revision: number,
  ): Pick<ExchangeAnswer, 'revisions' | 'snapshotNeeded'> {
    const revisions = this.state.replica.revisionsAfter(revision);
    if (revisions?.length === 0) {
      return {};
    }
    const fits =
      revisions !== undefined &&
      JSON.stringify(revisions).length <= REVISION_CARRY_CHARACTERS;
    return fits ? {revisions} : {snapshotNeeded: true};
  }
}
