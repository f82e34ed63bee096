import {Clock} from '../../../base/common/clock.js';
import {ConfigurationReplica} from '../../configuration/common/configurationReplica.js';
import {
  ConfirmationTracker,
  OUTAGE_STATUS_AGE_FACTOR,
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
import {InstanceStatusTable} from '../../membership/common/instanceStatusTable.js';
import {rosterFingerprint} from './roster.js';

/** An instance with a status no older than this is considered running. */
const RECENT_MILLISECONDS = 60_000;
/** The time in which a status passes on to twice as many instances, as a share of the silence limit. */
const SPREAD_SHARE = 0.25;

/** The state of the control program, shared by all components that access the table or peers. */
export class LocalState {
  readonly statuses = new InstanceStatusTable();
  readonly memberList = new MergedMemberList();
  readonly directory = new InstanceDirectory();
  readonly confirmation = new ConfirmationTracker();
  private readonly startedAt: number;
  private own: InstanceRecord;
  private headReadFailedSince: number | undefined;
  private peerRespondedAt: number | undefined;
  private rosterKey = rosterFingerprint([]);

  /** @param silenceMilliseconds time without a response from any peer after which the instance reads on its own. */
  constructor(
    readonly id: string,
    readonly replica: ConfigurationReplica,
    readonly clock: Clock,
    readonly boundMilliseconds: number,
    private readonly silenceMilliseconds: number,
  ) {
    this.startedAt = clock.monotonicMilliseconds();
    this.own = {id, incarnation: undefined, ready: false, leaving: false};
  }

  /** The record that this instance publishes about itself. */
  get record(): InstanceRecord {
    return this.own;
  }

  /** The fingerprint of the listed instance ids, whose order encoded statuses follow. */
  get roster(): string {
    return this.rosterKey;
  }

  /** Whether the platform's list shows this instance. */
  get isListed(): boolean {
    return this.directory.ids.includes(this.id);
  }

  /** Monotonic milliseconds since which reads of the head row fail; undefined while they succeed. */
  get tableFailedSince(): number | undefined {
    return this.headReadFailedSince;
  }

  /** Changes this instance's record; returns whether the record differs. */
  setRecord(change: Partial<InstanceRecord>): boolean {
    const previous = this.own;
    this.own = {...previous, ...change};
    this.refreshOwnStatus();
    return JSON.stringify(previous) !== JSON.stringify(this.own);
  }

  /** Must be called after `memberList` changed; brings the directory and the statuses up to date. */
  handleMembersChanged(): void {
    const change = this.directory.applyList(this.memberList.members());
    if (!change.instancesChanged) {
      return;
    }
    this.rosterKey = rosterFingerprint(this.directory.ids);
    this.statuses.keepOnly(this.directory.ids);
    this.refreshOwnStatus();
  }

  /** Applies member changes from the response to a request at `requestedAt`; returns whether the list changed. */
  applyMemberChanges(
    changes: readonly MemberChange[],
    requestedAt: number,
  ): boolean {
    const now = this.clock.monotonicMilliseconds();
    const changed = this.memberList.applyChanges(changes, requestedAt, now);
    if (changed) {
      this.handleMembersChanged();
    }
    return changed;
  }

  /** Records that a peer responded to an exchange. */
  recordPeerResponse(): void {
    this.peerRespondedAt = this.clock.monotonicMilliseconds();
  }

  /**
   * Ids of the instances that read the list and gossip, this one included; only its own if no peer responded for the
   * silence limit.
   */
  listReaders(): readonly string[] {
    const {silenceMilliseconds} = this;
    const now = this.clock.monotonicMilliseconds();
    const {ids} = this.directory;
    const respondedAt = this.peerRespondedAt ?? this.startedAt;
    if (now - respondedAt > silenceMilliseconds) {
      return [this.id];
    }
    const limit = readerStatusLimit(ids.length, silenceMilliseconds);
    // Soon after the start, statuses of running instances may not have arrived yet.
    const isNew = now - this.startedAt < limit;
    const readers = isNew ? ids : this.statuses.recentIds(ids, now, limit);
    return readers.includes(this.id) ? readers : [...readers, this.id];
  }

  /** Whether there is a recent status of an instance, from the instance itself or through peers. */
  isRecentlySeen(id: string): boolean {
    const now = this.clock.monotonicMilliseconds();
    return this.statuses.recentIds([id], now, RECENT_MILLISECONDS).length > 0;
  }

  /** Records a successful read of the head row. */
  recordTableRead(observation: HeadObservation): void {
    this.headReadFailedSince = undefined;
    this.addHeadObservation(observation);
  }

  /** Records a failed read of the head row. */
  recordTableFailure(): void {
    this.headReadFailedSince ??= this.clock.monotonicMilliseconds();
    this.refreshOwnStatus();
  }

  /** Adds a read of the head row by this or another instance. */
  addHeadObservation(observation: HeadObservation): void {
    this.replica.observeRevision(observation.revision);
    this.confirmation.addObservation(
      observation,
      this.replica.current.revision,
    );
    this.refreshOwnStatus();
  }

  /** Updates this instance's own status and record to the present. */
  refreshOwnStatus(): void {
    const observedAt = this.clock.monotonicMilliseconds();
    this.confirmation.handleRevisionApplied(this.replica.current.revision);
    this.statuses.update(this.id, {
      observedAt,
      isVoter: this.confirmation.confirmedAt !== undefined,
      hasFailedRead: this.headReadFailedSince !== undefined,
    });
    this.directory.updateRecord(this.own, observedAt);
  }

  /** Counts the listed instances that recently reported that they can't reach the table. */
  countTableOutage(): OutageCounts {
    const ids = this.directory.ids;
    const limit = this.boundMilliseconds * OUTAGE_STATUS_AGE_FACTOR;
    const now = this.clock.monotonicMilliseconds();
    return {
      listed: ids.length,
      failed: this.statuses.countTableFailures(ids, now, limit),
    };
  }
}

/**
 * Age of its status above which an instance no longer counts as a reader of the list. A turn of a dead reader passes
 * without a read, so it is dropped as soon as the status of a running one would have arrived.
 */
function readerStatusLimit(
  instanceCount: number,
  silenceMilliseconds: number,
): number {
  const doublings = Math.log2(Math.max(1, instanceCount));
  const limit = silenceMilliseconds * (1 + SPREAD_SHARE * doublings);
  return Math.min(RECENT_MILLISECONDS, limit);
}
