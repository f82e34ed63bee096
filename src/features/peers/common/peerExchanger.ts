import {CancellationToken} from '../../../base/common/cancellation.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {InstanceMember} from '../../../infrastructure/membership/common/membershipList.js';
import {withDeadline} from '../../configuration/common/callDeadline.js';
import {ConfigurationRevision} from '../../configuration/common/configuration.js';
import {LocalState} from './localState.js';
import {PeerConnection} from './peerConnection.js';
import {AgedRecord, ExchangeResponse, PeerNotice} from './peerMessages.js';
import {PeerResponder} from './peerResponder.js';
import {RosterCache} from './roster.js';

const CALL_TIMEOUT_MILLISECONDS = 1_000;
/** Maximum number of concurrent notices. */
const NOTICE_CONCURRENCY = 32;
/** Revisions with a larger serialized size are announced by number only. */
const REVISION_NOTICE_CHARACTERS = 4_000;
/** Number of peers notified of a changed member list; each one that learns of the change notifies as many. */
const MEMBERS_NOTICE_FAN_OUT = 4;
/** Number of exchanges from one request for all records to the next. */
const RECORDS_INTERVAL_EXCHANGES = 10;

/** Consecutive exchanges that need a snapshot before one is requested, since a whole configuration is large. */
const SNAPSHOT_REQUEST_THRESHOLD = 2;

/** How many instances acknowledged a notice. */
export interface NoticeCoverage {
  /** Instances that know the announced revision, this one included if it is listed. */
  readonly acknowledged: number;
  readonly listed: number;
}

/** How an exchange affected the member list. */
export type MembersOutcome =
  | 'unanswered'
  | 'same'
  /** The peer sent changes that were new to this instance. */
  | 'learned'
  /** The lists differ, but the peer sent nothing new. */
  | 'different';

/** Exchanges state with peers and notifies them of changes. */
export class PeerExchanger {
  private readonly rosters = new RosterCache();
  private exchangeCount = 0;
  private snapshotNeededCount = 0;

  constructor(
    private readonly state: LocalState,
    private readonly connection: PeerConnection,
    private readonly responder: PeerResponder,
    private readonly random: RandomSource,
  ) {}

  /** Exchanges state with the listed peer `id`, or else with a random one. */
  async exchange(
    token: CancellationToken,
    id?: string,
  ): Promise<MembersOutcome> {
    const requestedPeer = this.peers().find(member => member.id === id);
    const peer = requestedPeer ?? this.pickPeer();
    if (peer === undefined) {
      return 'unanswered';
    }
    const requestedAt = this.state.clock.monotonicMilliseconds();
    const response = await this.callWithTimeout(token, callToken =>
      this.connection.exchange(
        peer.controlAddress,
        {
          record: this.state.record,
          revision: this.state.replica.current.revision,
          members: this.state.memberList.fingerprint,
        },
        callToken,
      ),
    );
    if (!response.ok) {
      return 'unanswered';
    }
    this.state.recordPeerResponse();
    const outcome = this.applyMembers(response.value, requestedAt);
    await this.applyRevisionsFrom(peer, response.value, token);
    this.applyObservation(response.value, requestedAt);
    await this.mergeStatuses(peer, response.value, requestedAt, token);
    this.applyRecords(response.value.records ?? [], requestedAt);
    this.applyRecords(
      [{record: response.value.record, ageMilliseconds: 0}],
      requestedAt,
    );
    await this.fetchRecords(peer, token);
    this.state.refreshOwnStatus();
    return outcome;
  }

  /**
   * Notifies some random peers that this instance's member list changed. Peers that were not heard of recently learn of
   * it by exchanges: a notice that nobody receives spreads nothing.
   */
  async announceMembers(token: CancellationToken): Promise<void> {
    const candidates = this.runningPeers();
    const targets: InstanceMember[] = [];
    while (targets.length < MEMBERS_NOTICE_FAN_OUT && candidates.length > 0) {
      const index = this.random.nextInteger(candidates.length);
      targets.push(...candidates.splice(index, 1));
    }
    const {record, memberList, replica} = this.state;
    const revision = replica.knownRevision;
    const notice = {record, revision, members: memberList.fingerprint};
    await this.sendNotices(targets, notice, token);
  }

  /** Notifies all listed peers of this instance's record and new revisions. */
  async broadcast(
    revisions: readonly ConfigurationRevision[],
    token: CancellationToken,
  ): Promise<NoticeCoverage> {
    const notice = this.createNotice(revisions);
    const acknowledgedByPeers = await this.sendNotices(
      this.peers(),
      notice,
      token,
    );
    const acknowledged = acknowledgedByPeers + (this.state.isListed ? 1 : 0);
    return {acknowledged, listed: this.state.directory.ids.length};
  }

  /** Returns how many peers acknowledged the notice. */
  private async sendNotices(
    peers: readonly InstanceMember[],
    notice: PeerNotice,
    token: CancellationToken,
  ): Promise<number> {
    const remaining = [...peers];
    let acknowledged = 0;
    const worker = async () => {
      for (;;) {
        const peer = remaining.pop();
        if (peer === undefined || token.isCancelled) {
          return;
        }
        const response = await this.callWithTimeout(token, callToken =>
          this.connection.notify(peer.controlAddress, notice, callToken),
        );
        if (response.ok && response.value.revision >= notice.revision) {
          acknowledged++;
        }
      }
    };
    const workers = Math.min(NOTICE_CONCURRENCY, remaining.length);
    await Promise.all(Array.from({length: workers}, worker));
    return acknowledged;
  }

  private applyMembers(
    response: ExchangeResponse,
    requestedAt: number,
  ): MembersOutcome {
    if (response.members === undefined) {
      return 'same';
    }
    if (
      this.state.applyMemberChanges(response.memberChanges ?? [], requestedAt)
    ) {
      return 'learned';
    }
    const isSame = response.members === this.state.memberList.fingerprint;
    return isSame ? 'same' : 'different';
  }

  private createNotice(
    revisions: readonly ConfigurationRevision[],
  ): PeerNotice {
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

  /** The peers that were heard of recently, or all if there are none. */
  private runningPeers(): InstanceMember[] {
    const peers = this.peers();
    const running = new Set(this.state.listReaders());
    const runningPeers = peers.filter(({id}) => running.has(id));
    return runningPeers.length > 0 ? runningPeers : [...peers];
  }

  private pickPeer(): InstanceMember | undefined {
    const peers = this.peers();
    return peers[this.random.nextInteger(peers.length)];
  }

  private async applyRevisionsFrom(
    peer: InstanceMember,
    response: ExchangeResponse,
    token: CancellationToken,
  ): Promise<void> {
    this.state.replica.observeRevision(response.revision);
    this.state.replica.applyRevisions(response.revisions ?? []);
    this.snapshotNeededCount =
      response.snapshotNeeded === true ? this.snapshotNeededCount + 1 : 0;
    if (this.snapshotNeededCount < SNAPSHOT_REQUEST_THRESHOLD) {
      return;
    }
    const snapshot = await this.callWithTimeout(token, callToken =>
      this.connection.snapshot(peer.controlAddress, callToken),
    );
    if (snapshot.ok) {
      this.state.replica.applySnapshot(snapshot.value.configuration);
    }
  }

  /** Subtracts the age from the time of the request, so that `readAt` is never later than the actual read. */
  private applyObservation(
    response: ExchangeResponse,
    requestedAt: number,
  ): void {
    if (response.evidence !== undefined) {
      this.state.addHeadObservation({
        revision: response.evidence.revision,
        readAt: requestedAt - response.evidence.ageMilliseconds,
      });
    }
  }

  private async mergeStatuses(
    peer: InstanceMember,
    response: ExchangeResponse,
    requestedAt: number,
    token: CancellationToken,
  ): Promise<void> {
    const ids = await this.rosterOf(peer, response.roster, token);
    if (ids !== undefined) {
      this.state.statuses.merge(response.statuses, ids, requestedAt);
      this.state.statuses.keepOnly(this.state.directory.ids);
    }
  }

  private async rosterOf(
    peer: InstanceMember,
    fingerprint: string,
    token: CancellationToken,
  ): Promise<readonly string[] | undefined> {
    if (fingerprint === this.state.roster) {
      return this.state.directory.ids;
    }
    const known = this.rosters.get(fingerprint);
    if (known !== undefined) {
      return known;
    }
    const response = await this.callWithTimeout(token, callToken =>
      this.connection.roster(peer.controlAddress, callToken),
    );
    if (!response.ok) {
      return undefined;
    }
    this.rosters.add(response.value.ids);
    return this.rosters.get(fingerprint);
  }

  private applyRecords(
    records: readonly AgedRecord[],
    requestedAt: number,
  ): void {
    for (const {record, ageMilliseconds} of records) {
      const isOwn = record.id === this.state.id;
      const observedAt = requestedAt - ageMilliseconds;
      if (!isOwn && this.state.directory.updateRecord(record, observedAt)) {
        this.responder.markRecordChanged(record.id);
      }
    }
  }

  private async fetchRecords(
    peer: InstanceMember,
    token: CancellationToken,
  ): Promise<void> {
    const isDue = this.exchangeCount % RECORDS_INTERVAL_EXCHANGES === 0;
    this.exchangeCount++;
    if (!isDue || !this.state.directory.hasMissingRecords()) {
      return;
    }
    const requestedAt = this.state.clock.monotonicMilliseconds();
    const records = await this.callWithTimeout(token, callToken =>
      this.connection.records(peer.controlAddress, callToken),
    );
    if (records.ok) {
      this.applyRecords(records.value, requestedAt);
    }
  }

  private callWithTimeout<T>(
    token: CancellationToken,
    call: (token: CancellationToken) => Promise<T>,
  ): Promise<T> {
    return withDeadline(
      this.state.clock,
      token,
      CALL_TIMEOUT_MILLISECONDS,
      call,
    );
  }
}
