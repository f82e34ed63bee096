import {CancellationToken} from '../../base/common/cancellation.js';
import {DisposableOwner} from '../../base/common/lifecycle.js';
import {withDeadline} from '../../features/configuration/common/callDeadline.js';
import {ConfigurationProposer} from '../../features/configuration/common/configurationProposer.js';
import {ConfigurationReader} from '../../features/configuration/common/configurationReader.js';
import {ConfigurationReplica} from '../../features/configuration/common/configurationReplica.js';
import {ConfigurationStore} from '../../features/configuration/common/configurationStore.js';
import {EntryPresence} from '../../features/membership/common/entryPresence.js';
import {RepeatingTask} from '../../features/membership/common/repeatingTask.js';
import {StandingStateMachine} from '../../features/membership/common/standingStateMachine.js';
import {
  EntryAnnouncement,
  SystemView,
} from '../../features/membership/common/systemView.js';
import {UNKNOWN_AGE_SECONDS} from '../../features/membership/common/instanceStatusTable.js';
import {ViewPublisher} from '../../features/membership/common/viewPublisher.js';
import {LocalState} from '../../features/peers/common/localState.js';
import {MemberGossip} from '../../features/peers/common/memberGossip.js';
import {PeerExchanger} from '../../features/peers/common/peerExchanger.js';
import {PeerResponder} from '../../features/peers/common/peerResponder.js';
import {ProposalCoordinator} from './proposalCoordinator.js';
import {ControlDependencies, ControlTimings} from './controlDependencies.js';
import {MemberTracker} from './memberTracker.js';

const MILLISECONDS_PER_SECOND = 1_000;
const EVALUATION_PERIOD_MILLISECONDS = 500;
const PLATFORM_CALL_TIMEOUT_MILLISECONDS = 2_000;
/**
 * While the table fails here and it is not known whether it fails for a majority of instances, the exchange period is
 * divided by this factor.
 */
const FAST_EXCHANGE_FACTOR = 4;
/** Time after the start of a table failure during which the shorter exchange period applies. */
const FAST_EXCHANGE_MILLISECONDS = 30_000;
/** After this number of exchange periods without a response from any peer, an instance reads the list on its own. */
const UNANSWERED_EXCHANGE_LIMIT = 4;

/** The control program without its servers: follows the configuration, the membership list and the peers. */
export class ControlCore extends DisposableOwner {
  readonly replica: ConfigurationReplica;
  readonly state: LocalState;
  readonly responder: PeerResponder;
  readonly publisher: ViewPublisher;
  readonly proposals: ProposalCoordinator;
  private readonly reader: ConfigurationReader;
  private readonly standingStateMachine: StandingStateMachine;
  private readonly exchanger: PeerExchanger;
  private readonly gossip: MemberGossip;
  private readonly tasks: readonly RepeatingTask[];
  private readonly headTask: RepeatingTask;
  private readonly entry: EntryPresence;

  constructor(
    id: string,
    private readonly timings: ControlTimings,
    private readonly dependencies: ControlDependencies,
  ) {
    super();
    const {clock, random, logger} = dependencies;
    this.replica = this.register(new ConfigurationReplica());
    this.state = new LocalState(
      id,
      this.replica,
      clock,
      timings.confirmationBoundSeconds * MILLISECONDS_PER_SECOND,
      UNANSWERED_EXCHANGE_LIMIT *
        timings.peerExchangeSeconds *
        MILLISECONDS_PER_SECOND,
    );
    this.responder = this.register(new PeerResponder(this.state));
    this.publisher = this.register(new ViewPublisher());
    this.standingStateMachine = this.register(new StandingStateMachine(clock));
    this.entry = new EntryPresence(clock);
    const store = new ConfigurationStore(
      dependencies.table,
      dependencies.objects,
    );
    this.reader = new ConfigurationReader(store, this.replica, clock);
    this.exchanger = new PeerExchanger(
      this.state,
      dependencies.peers,
      this.responder,
      random,
    );
    this.gossip = this.register(
      new MemberGossip(this.state, this.exchanger, this.responder),
    );
    const memberTracker = this.register(this.createMemberTracker());
    this.proposals = this.register(this.createProposalCoordinator(store));
    this.headTask = this.createTask(
      () => timings.headReadSeconds * MILLISECONDS_PER_SECOND,
      token => this.readHead(token),
    );
    this.tasks = this.createTasks(memberTracker);
    this.register(this.replica.onDidChange(() => this.evaluate()));
    this.register(this.responder.onDidLearn(() => this.handlePeerUpdate()));
    this.register(memberTracker.onDidChange(() => this.evaluate()));
    this.register(
      this.standingStateMachine.onDidChange(standing =>
        logger.decision('standing', {standing: standing.kind}),
      ),
    );
  }

  /** Starts to read the table and the membership list, and to exchange state with peers. */
  start(): void {
    for (const task of this.tasks) {
      task.runNow();
    }
  }

  /** Re-evaluates the state and returns the current view. */
  view(): SystemView {
    this.evaluate();
    return this.publisher.current;
  }

  /** Handles an announcement of this instance's entry program. */
  announce(announcement: EntryAnnouncement): void {
    this.entry.announce(announcement);
    this.evaluate();
  }

  /** Records a call of this instance's entry program, as a sign that it is alive. */
  recordEntryContact(): void {
    this.entry.recordContact();
  }

  /** Stops accepting new work, notifies all peers, then stops. */
  async leave(): Promise<void> {
    this.standingStateMachine.leave();
    this.state.setRecord({leaving: true, ready: false});
    this.evaluate();
    await this.proposals.broadcast([]);
    this.standingStateMachine.stop();
    this.evaluate();
  }

  private createProposalCoordinator(
    store: ConfigurationStore,
  ): ProposalCoordinator {
    const {reader, replica, exchanger} = this;
    const {clock, nonce, logger} = this.dependencies;
    const proposer = new ConfigurationProposer(
      store,
      reader,
      replica,
      clock,
      nonce,
      logger,
    );
    return new ProposalCoordinator(store, proposer, exchanger, clock, logger);
  }

  private createTasks(memberTracker: MemberTracker): readonly RepeatingTask[] {
    return [
      this.createTask(
        () => memberTracker.millisecondsUntilNextPoll(),
        token => memberTracker.readIfDue(token),
      ),
      this.headTask,
      this.createTask(
        () => this.exchangePeriodMilliseconds(),
        token => this.exchange(token),
      ),
      this.createTask(
        () => EVALUATION_PERIOD_MILLISECONDS,
        () => Promise.resolve(this.evaluate()),
      ),
    ];
  }

  private createMemberTracker(): MemberTracker {
    const {timings, state, gossip} = this;
    const {
      membership: list,
      clock,
      random,
      logger,
      metrics,
    } = this.dependencies;
    return new MemberTracker(
      {list, state, gossip, clock, random, logger, metrics},
      {
        minIntervalMilliseconds:
          timings.membershipReadSeconds * MILLISECONDS_PER_SECOND,
        bytesPerSecond: timings.membershipReadBytesPerSecond,
      },
    );
  }

  private createTask(
    period: () => number,
    run: (token: CancellationToken) => Promise<void>,
  ): RepeatingTask {
    const {clock, random} = this.dependencies;
    return this.register(new RepeatingTask(clock, random, period, run));
  }

  private async readHead(token: CancellationToken): Promise<void> {
    const reading = await this.withTimeout(
      token,
      PLATFORM_CALL_TIMEOUT_MILLISECONDS,
      call => this.reader.readHead(call),
    );
    this.dependencies.metrics.count('control.head_reads', 1, {
      outcome: reading.ok ? 'ok' : reading.error.kind,
    });
    if (reading.ok) {
      const {head, startedAt} = reading.value;
      this.state.recordTableRead({revision: head.revision, readAt: startedAt});
    } else {
      this.state.recordTableFailure();
    }
    this.evaluate();
  }

  private async exchange(token: CancellationToken): Promise<void> {
    await this.gossip.exchange(token);
    this.evaluate();
  }

  private exchangePeriodMilliseconds(): number {
    const period = this.timings.peerExchangeSeconds * MILLISECONDS_PER_SECOND;
    const failedSince = this.state.tableFailedSince;
    const now = this.dependencies.clock.monotonicMilliseconds();
    if (
      failedSince === undefined ||
      now - failedSince > FAST_EXCHANGE_MILLISECONDS
    ) {
      return period;
    }
    const {failed, listed} = this.state.countTableOutage();
    return failed * 2 > listed ? period : period / FAST_EXCHANGE_FACTOR;
  }

  private handlePeerUpdate(): void {
    if (this.replica.knownRevision > this.replica.current.revision) {
      this.headTask.runNow();
    }
    this.evaluate();
  }

  private evaluate(): void {
    this.state.refreshOwnStatus();
    this.standingStateMachine.updateConfirmation({
      now: this.dependencies.clock.monotonicMilliseconds(),
      boundMilliseconds: this.state.boundMilliseconds,
      appliedRevision: this.replica.current.revision,
      knownRevision: this.replica.knownRevision,
      confirmedAt: this.state.confirmation.confirmedAt,
      outageCounts: this.state.countTableOutage(),
    });
    this.updateOwnRecord();
    this.publisher.publish({
      standing: this.standingStateMachine.standing,
      configuration: this.replica.current,
      instances: this.state.directory.views(id => this.wasRecentlyObserved(id)),
      upstreams: this.state.directory.upstreams,
    });
  }

  private updateOwnRecord(): void {
    const {standing} = this.standingStateMachine;
    if (standing.kind === 'leaving') {
      return;
    }
    const {leaving, incarnation, isAlive} = this.entry;
    const ready = standing.kind === 'serving' && isAlive && !leaving;
    if (this.state.setRecord({ready, leaving, incarnation})) {
      this.responder.markRecordChanged(this.state.id);
      void this.proposals.broadcast([]);
    }
  }

  private wasRecentlyObserved(id: string): boolean {
    const observedAt = this.state.statuses.get(id)?.observedAt;
    const now = this.dependencies.clock.monotonicMilliseconds();
    return (
      observedAt !== undefined &&
      now - observedAt < UNKNOWN_AGE_SECONDS * MILLISECONDS_PER_SECOND
    );
  }

  private withTimeout<T>(
    token: CancellationToken,
    milliseconds: number,
    call: (token: CancellationToken) => Promise<T>,
  ): Promise<T> {
    return withDeadline(this.dependencies.clock, token, milliseconds, call);
  }
}
