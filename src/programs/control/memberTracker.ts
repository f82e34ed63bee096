import {CancellationToken} from '../../base/common/cancellation.js';
import {Clock} from '../../base/common/clock.js';
import {Emitter} from '../../base/common/event.js';
import {DisposableOwner} from '../../base/common/lifecycle.js';
import {RandomSource} from '../../base/common/randomSource.js';
import {Result} from '../../base/common/result.js';
import {withDeadline} from '../../features/configuration/common/callDeadline.js';
import {
  ListReader,
  ListReadResult,
} from '../../features/membership/common/listReader.js';
import {
  ListReadLimits,
  ListReadScheduler,
} from '../../features/membership/common/listReadScheduler.js';
import {LocalState} from '../../features/peers/common/localState.js';
import {MemberGossip} from '../../features/peers/common/memberGossip.js';
import {
  DecisionFields,
  Logger,
} from '../../infrastructure/logging/common/logger.js';
import {MembershipList} from '../../infrastructure/membership/common/membershipList.js';
import {Metrics} from '../../infrastructure/metrics/common/metrics.js';
import {StorageError} from '../../infrastructure/table/common/tableService.js';

const READ_TIMEOUT_MILLISECONDS = 2_000;

export interface MemberTrackerDependencies {
  readonly list: MembershipList;
  readonly state: LocalState;
  readonly gossip: MemberGossip;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Keeps the membership list up to date. The instances share the reads and notify each other of changes. */
export class MemberTracker extends DisposableOwner {
  private readonly changeEmitter = this.register(new Emitter<void>());
  private readonly scheduler: ListReadScheduler;
  private readonly reader: ListReader;
  private lastReadAt: number | undefined;

  /** Fires after the list of members changed. */
  readonly onDidChange = this.changeEmitter.event;

  constructor(
    private readonly dependencies: MemberTrackerDependencies,
    limits: ListReadLimits,
  ) {
    super();
    const {list, state, gossip, clock, random, logger} = dependencies;
    this.scheduler = new ListReadScheduler(state.id, clock, random, limits);
    this.reader = new ListReader(
      list,
      state.memberList,
      this.scheduler,
      clock,
      logger,
      id => state.isRecentlySeen(id),
    );
    this.register(gossip.onDidLearnMembers(() => this.handleLearnedMembers()));
    this.register(
      gossip.onDidFailToConverge(() => this.scheduler.requestRepairRead()),
    );
  }

  /** Time until the next call of `readIfDue`. */
  millisecondsUntilNextPoll(): number {
    return this.scheduler.millisecondsUntilNextPoll();
  }

  /** Reads the list if a read is due; called once per turn of the readers. */
  async readIfDue(token: CancellationToken): Promise<void> {
    const {state, gossip, clock, metrics} = this.dependencies;
    const readers = state.listReaders();
    if (!this.scheduler.isDue(readers)) {
      return;
    }
    const startedAt = clock.monotonicMilliseconds();
    const reading = await withDeadline(
      clock,
      token,
      READ_TIMEOUT_MILLISECONDS,
      call => this.reader.read(call),
    );
    metrics.count('control.list_reads', 1, {
      outcome: reading.ok ? 'ok' : reading.error.kind,
    });
    this.logRead(reading, readers.length, startedAt);
    if (!reading.ok || !reading.value.changed) {
      return;
    }
    state.handleMembersChanged();
    this.changeEmitter.fire();
    if (reading.value.isNewToPeers) {
      gossip.announce();
    }
  }
  private handleLearnedMembers(): void {
    this.logList({source: 'peer', changed: true});
    this.changeEmitter.fire();
  }

  private logRead(
    reading: Result<ListReadResult, StorageError>,
    readers: number,
    startedAt: number,
  ): void {
    const tookMilliseconds = this.now() - startedAt;
    const sinceLastReadMilliseconds =
      this.lastReadAt === undefined ? undefined : startedAt - this.lastReadAt;
    this.lastReadAt = startedAt;
    this.logList({
      source: 'platform',
      ...(reading.ok
        ? {changed: reading.value.changed}
        : {error: reading.error.kind}),
      readers,
      tookMilliseconds,
      sinceLastReadMilliseconds,
    });
  }

  /** Logs what this instance knows of the list after a read or after changes from a peer. */
  private logList(fields: DecisionFields): void {
    const {memberList} = this.dependencies.state;
    this.dependencies.logger.decision('membershipList', {
      ...fields,
      members: memberList.size,
      fingerprint: memberList.fingerprint,
    });
  }

  private now(): number {
    return this.dependencies.clock.monotonicMilliseconds();
  }
}
