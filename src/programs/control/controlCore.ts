import {CancellationToken} from '../../base/common/cancellation.js';
import {DisposableOwner} from '../../base/common/lifecycle.js';
import {withDeadline} from '../../features/configuration/common/callDeadline.js';
import {ConfigurationProposer} from '../../features/configuration/common/configurationProposer.js';
import {ConfigurationReader} from '../../features/configuration/common/configurationReader.js';
import {ConfigurationReplica} from '../../features/configuration/common/configurationReplica.js';
import {ConfigurationStore} from '../../features/configuration/common/configurationStore.js';
import {EntryPresence} from '../../features/membership/common/entryPresence.js';
import {RepeatingTask} from '../../features/membership/common/repeatingTask.js';
import {StandingKeeper} from '../../features/membership/common/standingKeeper.js';
import {
  EntryAnnouncement,
  SystemView,
} from '../../features/membership/common/systemView.js';
import {UNKNOWN_AGE_SECONDS} from '../../features/membership/common/statusTable.js';
import {ViewPublisher} from '../../features/membership/common/viewPublisher.js';
import {LocalState} from '../../features/peers/common/localState.js';
import {MemberSpreader} from '../../features/peers/common/memberSpreader.js';
import {PeerExchanger} from '../../features/peers/common/peerExchanger.js';
import {PeerResponder} from '../../features/peers/common/peerResponder.js';
import {ChangeDesk} from './changeDesk.js';
import {ControlPorts, ControlTimes} from './controlPorts.js';
import {MemberTracker} from './memberTracker.js';

const SECOND = 1_000;
const EVALUATION_MILLISECONDS = 500;
const PLATFORM_CALL_MILLISECONDS = 2_000;
/** While the table fails and it isn't known whether it fails for a majority, peers are asked so many times as often, for a while. */
const HURRY_FACTOR = 4;
const HURRY_MILLISECONDS = 30_000;
/** An instance that no peer answered for so many periods reads the list by itself. */
const SILENT_EXCHANGES = 4;

/** Everything the control program does apart from its servers. */
export class ControlCore extends DisposableOwner {
  readonly replica: ConfigurationReplica;
  readonly state: LocalState;
  readonly responder: PeerResponder;
  readonly publisher: ViewPublisher;
  readonly changes: ChangeDesk;
  private readonly reader: ConfigurationReader;
  private readonly keeper: StandingKeeper;
  private readonly exchanger: PeerExchanger;
  private readonly spreader: MemberSpreader;
  private readonly tasks: readonly RepeatingTask[];
  private readonly headTask: RepeatingTask;
  private readonly entry: EntryPresence;

  constructor(
    id: string,
    private readonly times: ControlTimes,
    private readonly ports: ControlPorts,
  ) {
    super();
    const {clock, random, logger} = ports;
    this.replica = this.register(new ConfigurationReplica());
    this.state = new LocalState(
      id,
      this.replica,
      clock,
      times.confirmationBoundSeconds * SECOND,
    );
    this.responder = this.register(new PeerResponder(this.state));
    this.publisher = this.register(new ViewPublisher());
    this.keeper = this.register(new StandingKeeper(clock));
    this.entry = new EntryPresence(clock);
    const log = new ConfigurationStore(ports.table, ports.objects);
    this.reader = new ConfigurationReader(log, this.replica, clock);
    this.exchanger = new PeerExchanger(
      this.state,
      ports.peers,
      this.responder,
      random,
    );
    this.spreader = this.register(
      new MemberSpreader(this.state, this.exchanger, this.responder),
    );
    const members = this.register(this.createTracker());
    this.changes = this.register(this.createChangeDesk(log));
    this.headTask = this.task(
      () => times.headReadSeconds * SECOND,
      token => this.readHead(token),
    );
    this.tasks = this.createTasks(members);
    this.register(this.replica.onDidChange(() => this.evaluate()));
    this.register(this.responder.onDidLearn(() => this.learned()));
    this.register(members.onDidChange(() => this.evaluate()));
    this.register(
      this.keeper.onDidChange(standing =>
        logger.decision('standing', {standing: standing.kind}),
      ),
    );
  }

  /** Begins to read the table and the list and to ask peers. */
  start(): void {
    for (const task of this.tasks) {
      task.runNow();
    }
  }

  /** The newest view, decided from what is known at this moment. */
  view(): SystemView {
    this.evaluate();
    return this.publisher.current;
  }

  /** The entry program of this instance introduced itself. */
  announce(announcement: EntryAnnouncement): void {
    this.entry.announce(announcement);
    this.evaluate();
  }

  /** The entry program of this instance asked for something. */
  noteEntry(): void {
    this.entry.noteHeard();
  }

  /** Takes no new work, tells all peers, then stops. */
  async leave(): Promise<void> {
    this.keeper.leave();
    this.state.setRecord({leaving: true, ready: false});
    this.evaluate();
    await this.changes.handOver([]);
    this.keeper.stop();
    this.evaluate();
  }

  private createChangeDesk(log: ConfigurationStore): ChangeDesk {
    const {reader, replica, exchanger} = this;
    const {clock, nonce, logger} = this.ports;
    const proposer = new ConfigurationProposer(
      log,
      reader,
      replica,
      clock,
      nonce,
      logger,
    );
    return new ChangeDesk(log, proposer, exchanger, clock, logger);
  }

  private createTasks(members: MemberTracker): readonly RepeatingTask[] {
    return [
      this.task(
        () => this.times.membershipReadSeconds * SECOND,
        token => members.readIfDue(token),
      ),
      this.headTask,
      this.task(
        () => this.exchangeMilliseconds(),
        token => this.exchange(token),
      ),
      this.task(
        () => EVALUATION_MILLISECONDS,
        () => Promise.resolve(this.evaluate()),
      ),
    ];
  }

  private createTracker(): MemberTracker {
    const {times, state, spreader} = this;
    const {membership: list, clock, random, logger, metrics} = this.ports;
    return new MemberTracker(
      {list, state, spreader, clock, random, logger, metrics},
      {
        shortestMilliseconds: times.membershipReadSeconds * SECOND,
        bytesPerSecond: times.membershipReadBytesPerSecond,
      },
      SILENT_EXCHANGES * times.peerExchangeSeconds * SECOND,
    );
  }

  private task(
    period: () => number,
    run: (token: CancellationToken) => Promise<void>,
  ): RepeatingTask {
    const {clock, random} = this.ports;
    return this.register(new RepeatingTask(clock, random, period, run));
  }

  private async readHead(token: CancellationToken): Promise<void> {
    const reading = await this.bounded(
      token,
      PLATFORM_CALL_MILLISECONDS,
      call => this.reader.readHead(call),
    );
    this.ports.metrics.count('control.head_reads', 1, {
      outcome: reading.ok ? 'ok' : reading.error.kind,
    });
    if (reading.ok) {
      const {head, startedAt} = reading.value;
      this.state.tableRead({revision: head.revision, readAt: startedAt});
    } else {
      this.state.tableFailed();
    }
    this.evaluate();
  }

  private async exchange(token: CancellationToken): Promise<void> {
    await this.spreader.exchange(token);
    this.evaluate();
  }

  private exchangeMilliseconds(): number {
    const period = this.times.peerExchangeSeconds * SECOND;
    const since = this.state.tableFailedSince;
    const now = this.ports.clock.monotonicMilliseconds();
    if (since === undefined || now - since > HURRY_MILLISECONDS) {
      return period;
    }
    const {failed, listed} = this.state.outageEvidence();
    return failed * 2 > listed ? period : period / HURRY_FACTOR;
  }

  private learned(): void {
    if (this.replica.knownRevision > this.replica.current.revision) {
      this.headTask.runNow();
    }
    this.evaluate();
  }

  private evaluate(): void {
    this.state.noteSelf();
    this.keeper.evaluate({
      now: this.ports.clock.monotonicMilliseconds(),
      boundMilliseconds: this.state.boundMilliseconds,
      appliedRevision: this.replica.current.revision,
      knownRevision: this.replica.knownRevision,
      confirmedAt: this.state.confirmation.confirmedAt,
      outage: this.state.outageEvidence(),
    });
    this.updateRecord();
    this.publisher.publish({
      standing: this.keeper.standing,
      configuration: this.replica.current,
      instances: this.state.directory.views(id => this.isHeard(id)),
      upstreams: this.state.directory.upstreams,
    });
  }

  private updateRecord(): void {
    const {standing} = this.keeper;
    if (standing.kind === 'leaving') {
      return;
    }
    const {leaving, incarnation, isAlive} = this.entry;
    const ready = standing.kind === 'serving' && isAlive && !leaving;
    if (this.state.setRecord({ready, leaving, incarnation})) {
      this.responder.noteChange(this.state.id);
      void this.changes.handOver([]);
    }
  }

  private isHeard(id: string): boolean {
    const heardAt = this.state.statuses.get(id)?.heardAt;
    const now = this.ports.clock.monotonicMilliseconds();
    return (
      heardAt !== undefined && now - heardAt < UNKNOWN_AGE_SECONDS * SECOND
    );
  }

  private bounded<T>(
    token: CancellationToken,
    milliseconds: number,
    call: (token: CancellationToken) => Promise<T>,
  ): Promise<T> {
    return withDeadline(this.ports.clock, token, milliseconds, call);
  }
}
