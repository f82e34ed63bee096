import {CancellationToken} from '../../../base/common/cancellation.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {InstanceMember} from '../../../infrastructure/membership/common/membershipList.js';
import {withDeadline} from '../../configuration/common/callDeadline.js';
import {ConfigurationRevision} from '../../configuration/common/configuration.js';
import {LocalState} from './localState.js';
import {PeerConnection} from './peerConnection.js';
import {AgedRecord, ExchangeAnswer, PeerNotice} from './peerMessages.js';
import {PeerResponder} from './peerResponder.js';
import {RosterCache} from './roster.js';

const CALL_MILLISECONDS = 1_000;
/** Notices under way at once. */
const NOTICE_CONCURRENCY = 32;
/** Larger sets of revisions are announced by number only. */
const REVISION_NOTICE_CHARACTERS = 4_000;
/** Peers told of a changed list of members; each that learns from it tells as many. */
const MEMBERS_FAN_OUT = 4;
/** Exchanges between two requests for all records. */
const RECORDS_EVERY = 10;

/** A whole configuration is large; it is asked for when so many peers in a row had more than they could send. */
const SNAPSHOT_AFTER = 2;

/** How many instances know of a revision. */
export interface Handover {
  /** Listed instances that know it, this one included if it is listed. */
  readonly acknowledged: number;
  readonly listed: number;
}

/** What an exchange showed of the peer's list of members. */
export type MembersOutcome =
  | 'unanswered'
  | 'same'
  /** This instance's list changed. */
  | 'learned'
  /** The lists differ and the peer told nothing that is news here. */
  | 'different';

/** Asks peers for what they know and tells them of changes. */
export class PeerExchanger {
  private readonly rosters = new RosterCache();
  private exchanges = 0;
  private lacking = 0;

  constructor(
    private readonly state: LocalState,
    private readonly connection: PeerConnection,
    private readonly responder: PeerResponder,
    private readonly random: RandomSource,
  ) {}

  /** Asks one peer, a random one unless it is named and listed. */
  async exchange(
    token: CancellationToken,
    id?: string,
  ): Promise<MembersOutcome> {
    const named = this.peers().find(member => member.id === id);
    const peer = named ?? this.pickPeer();
    if (peer === undefined) {
      return 'unanswered';
    }
    const askedAt = this.state.clock.monotonicMilliseconds();
    const answer = await this.bounded(token, callToken =>
      this.connection.exchange(
        peer.controlAddress,
        {
          record: this.state.record,
          revision: this.state.replica.current.revision,
          members: this.state.book.fingerprint,
        },
        callToken,
      ),
    );
    if (!answer.ok) {
      return 'unanswered';
    }
    this.state.notePeerAnswer();
    const outcome = this.takeMembers(answer.value, askedAt);
    await this.takeRevisions(peer, answer.value, token);
    this.takeEvidence(answer.value, askedAt);
    await this.takeStatuses(peer, answer.value, askedAt, token);
    this.takeRecords(answer.value.records ?? [], askedAt);
    this.takeRecords(
      [{record: answer.value.record, ageMilliseconds: 0}],
      askedAt,
    );
    await this.fetchRecords(peer, token);
    this.state.noteSelf();
    return outcome;
  }

  /** Tells some random peers that the list of members changed here. */
  async announceMembers(token: CancellationToken): Promise<void> {
    const waiting = [...this.peers()];
    const chosen: InstanceMember[] = [];
    while (chosen.length < MEMBERS_FAN_OUT && waiting.length > 0) {
      const index = this.random.nextInteger(waiting.length);
      chosen.push(...waiting.splice(index, 1));
    }
    const {record, book, replica} = this.state;
    const revision = replica.knownRevision;
    const notice = {record, revision, members: book.fingerprint};
    await this.tell(chosen, notice, token);
  }

  /** Tells all listed peers of this instance's record and of new revisions. */
  async broadcast(
    revisions: readonly ConfigurationRevision[],
    token: CancellationToken,
  ): Promise<Handover> {
    const notice = this.makeNotice(revisions);
    const told = await this.tell(this.peers(), notice, token);
    const acknowledged = told + (this.state.isListed ? 1 : 0);
    return {acknowledged, listed: this.state.directory.ids.length};
  }

  /** Answers how many acknowledged the notice. */
  private async tell(
    peers: readonly InstanceMember[],
    notice: PeerNotice,
    token: CancellationToken,
  ): Promise<number> {
    const waiting = [...peers];
    let acknowledged = 0;
    const worker = async () => {
      for (;;) {
        const peer = waiting.pop();
        if (peer === undefined || token.isCancelled) {
          return;
        }
        const answer = await this.bounded(token, callToken =>
          this.connection.notify(peer.controlAddress, notice, callToken),
        );
        if (answer.ok && answer.value.revision >= notice.revision) {
          acknowledged++;
        }
      }
    };
    const workers = Math.min(NOTICE_CONCURRENCY, waiting.length);
    await Promise.all(Array.from({length: workers}, worker));
    return acknowledged;
  }

  private takeMembers(answer: ExchangeAnswer, askedAt: number): MembersOutcome {
    if (answer.members === undefined) {
      return 'same';
    }
    if (this.state.takeMemberChanges(answer.memberChanges ?? [], askedAt)) {
      return 'learned';
    }
    const isSame = answer.members === this.state.book.fingerprint;
    return isSame ? 'same' : 'different';
  }

  private makeNotice(revisions: readonly ConfigurationRevision[]): PeerNotice {
    const notice = {
      record: this.state.record,
      revision: this.state.replica.knownRevision,
    };
    const isSmall =
      revisions.length > 0 &&
      JSON.stringify(revisions).length <= REVISION_NOTICE_CHARACTERS;
    return isSmall ? {...notice, revisions} : notice;
  }

  private peers(): readonly InstanceMember[] {
    return this.state.directory.members.filter(
      member => member.id !== this.state.id,
    );
  }

  private pickPeer(): InstanceMember | undefined {
    const peers = this.peers();
    return peers[this.random.nextInteger(peers.length)];
  }

  private async takeRevisions(
    peer: InstanceMember,
    answer: ExchangeAnswer,
    token: CancellationToken,
  ): Promise<void> {
    this.state.replica.noteRevision(answer.revision);
    this.state.replica.applyRevisions(answer.revisions ?? []);
    this.lacking = answer.snapshotNeeded === true ? this.lacking + 1 : 0;
    if (this.lacking < SNAPSHOT_AFTER) {
      return;
    }
    const snapshot = await this.bounded(token, callToken =>
      this.connection.snapshot(peer.controlAddress, callToken),
    );
    if (snapshot.ok) {
      this.state.replica.applySnapshot(snapshot.value.configuration);
    }
  }

  /** The peer read the table after `askedAt` less the age that it states, so the date is never too late. */
  private takeEvidence(answer: ExchangeAnswer, askedAt: number): void {
    if (answer.evidence !== undefined) {
      this.state.noteEvidence({
        revision: answer.evidence.revision,
        readAt: askedAt - answer.evidence.ageMilliseconds,
      });
    }
  }

  private async takeStatuses(
    peer: InstanceMember,
    answer: ExchangeAnswer,
    askedAt: number,
    token: CancellationToken,
  ): Promise<void> {
    const ids = await this.rosterOf(peer, answer.roster, token);
    if (ids !== undefined) {
      this.state.statuses.merge(answer.statuses, ids, askedAt);
      this.state.statuses.keepOnly(this.state.directory.ids);
    }
  }

  private async rosterOf(
    peer: InstanceMember,
    name: string,
    token: CancellationToken,
  ): Promise<readonly string[] | undefined> {
    if (name === this.state.roster) {
      return this.state.directory.ids;
    }
    const known = this.rosters.get(name);
    if (known !== undefined) {
      return known;
    }
    const answer = await this.bounded(token, callToken =>
      this.connection.roster(peer.controlAddress, callToken),
    );
    if (!answer.ok) {
      return undefined;
    }
    this.rosters.add(answer.value.ids);
    return this.rosters.get(name);
  }

  private takeRecords(records: readonly AgedRecord[], askedAt: number): void {
    for (const {record, ageMilliseconds} of records) {
      const isOwn = record.id === this.state.id;
      const heardAt = askedAt - ageMilliseconds;
      if (!isOwn && this.state.directory.updateRecord(record, heardAt)) {
        this.responder.noteChange(record.id);
      }
    }
  }

  private async fetchRecords(
    peer: InstanceMember,
    token: CancellationToken,
  ): Promise<void> {
    const isDue = this.exchanges % RECORDS_EVERY === 0;
    this.exchanges++;
    if (!isDue || !this.state.directory.hasMissingRecords()) {
      return;
    }
    const askedAt = this.state.clock.monotonicMilliseconds();
    const records = await this.bounded(token, callToken =>
      this.connection.records(peer.controlAddress, callToken),
    );
    if (records.ok) {
      this.takeRecords(records.value, askedAt);
    }
  }

  private bounded<T>(
    token: CancellationToken,
    call: (token: CancellationToken) => Promise<T>,
  ): Promise<T> {
    return withDeadline(this.state.clock, token, CALL_MILLISECONDS, call);
  }
}
