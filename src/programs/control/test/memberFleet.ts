import {SeededRandomSource} from '../../../base/common/randomSource.js';
import {ConfigurationReplica} from '../../../features/configuration/common/configurationReplica.js';
import {RepeatingTask} from '../../../features/membership/common/repeatingTask.js';
import {LocalState} from '../../../features/peers/common/localState.js';
import {PeerExchanger} from '../../../features/peers/common/peerExchanger.js';
import {PeerResponder} from '../../../features/peers/common/peerResponder.js';
import {MemberGossip} from '../../../features/peers/common/memberGossip.js';
import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {
  Member,
  MemberState,
  UpstreamMember,
} from '../../../infrastructure/membership/common/membershipList.js';
import {SilentMetrics} from '../../../infrastructure/metrics/common/metrics.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {InMemoryPlatform} from '../../../../test/support/inMemoryPlatform.js';
import {instanceMember} from '../../../../test/support/members.js';
import {MemberTracker} from '../memberTracker.js';
import {PeerNetwork} from './peerNetwork.js';

/** Simulates how many instances read the membership list, without the other parts of their control programs. */

const BOUND_MILLISECONDS = 12_000;
const UNANSWERED_EXCHANGE_LIMIT = 4;

/** Periods in milliseconds, and the read rate of an instance. */
interface FleetTimings {
  readonly read: number;
  readonly exchange: number;
  readonly bytesPerSecond: number;
}

/** Simulated instances that share reads of the list and exchange its changes. */
export class MemberFleet extends PeerNetwork {
  readonly clock = new FakeClock();
  readonly platform = new InMemoryPlatform(this.clock);
  readonly states = new Map<string, LocalState>();
  /** Longest time of a call in each direction. */
  maximumDelayMilliseconds = 200;
  /** Probability that a call is lost. */
  lossProbability = 0;
  private readonly responders = new Map<string, PeerResponder>();
  private readonly random: SeededRandomSource;

  constructor(
    readonly ids: readonly string[],
    upstreams: readonly UpstreamMember[],
    private readonly timings: FleetTimings,
    private readonly seed: number,
  ) {
    super();
    this.random = new SeededRandomSource(seed);
    this.platform.members = [
      ...ids.map(id => instanceMember(id)),
      ...upstreams,
    ];
    ids.forEach((id, index) => this.start(id, index));
  }

  run(milliseconds: number): Promise<void> {
    return this.clock.advanceAsync(milliseconds);
  }

  /** Sets the state of members in the platform's list; undefined removes them. */
  list(ids: readonly string[], state: MemberState | undefined): void {
    this.platform.members = this.platform.members.flatMap(
      (member): Member[] => {
        if (!ids.includes(member.id)) {
          return [member];
        }
        return state === undefined ? [] : [{...member, state}];
      },
    );
  }

  /** The state of a member in an instance's copy of the list. */
  shownState(at: string, id: string): MemberState | undefined {
    return this.states.get(at)?.memberList.get(id)?.state;
  }

  isRead(at: string): boolean {
    return this.states.get(at)?.memberList.hasReadList ?? false;
  }

  fingerprints(): ReadonlySet<string> {
    return new Set(
      [...this.states.values()].map(({memberList}) => memberList.fingerprint),
    );
  }

  override delay(): Promise<void> {
    return new Promise(resolve => {
      const delay = this.maximumDelayMilliseconds * this.random.next();
      this.clock.setTimer(delay, resolve);
    });
  }

  override losesCall(): boolean {
    return this.random.next() < this.lossProbability;
  }

  override responderOf(id: string): PeerResponder | undefined {
    return this.responders.get(id);
  }

  private start(id: string, index: number): void {
    const {clock, timings} = this;
    const random = new SeededRandomSource(this.seed * 1_000 + index);
    const replica = new ConfigurationReplica();
    const state = new LocalState(
      id,
      replica,
      clock,
      BOUND_MILLISECONDS,
      UNANSWERED_EXCHANGE_LIMIT * timings.exchange,
    );
    const responder = new PeerResponder(state);
    const connection = this.connectionOf(id);
    const peers = new PeerExchanger(state, connection, responder, random);
    const gossip = new MemberGossip(state, peers, responder);
    const logger = new SilentLogger();
    const metrics = new SilentMetrics();
    const list = this.platform.servicesFor(id).membership;
    const tracker = new MemberTracker(
      {list, state, gossip, clock, random, logger, metrics},
      {
        minIntervalMilliseconds: timings.read,
        bytesPerSecond: timings.bytesPerSecond,
      },
    );
    this.states.set(id, state);
    this.responders.set(id, responder);
    const tasks = [
      new RepeatingTask(
        clock,
        random,
        () => tracker.millisecondsUntilNextPoll(),
        token => {
          state.refreshOwnStatus();
          return tracker.readIfDue(token);
        },
      ),
      new RepeatingTask(
        clock,
        random,
        () => timings.exchange,
        token => gossip.exchange(token),
      ),
    ];
    tasks.forEach(task => task.runNow());
  }
}

/** Creates engines with the ids `e0`, `e1` and so on. */
export function engineMembers(count: number): readonly UpstreamMember[] {
  return Array.from({length: count}, (_, index) => ({
    role: 'engine' as const,
    id: `e${index}`,
    dataCentre: 'west-1',
    region: 'west',
    address: `10.0.${index >> 8}.${index & 255}:7000`,
    group: `replica-${index >> 2}`,
    state: 'live' as const,
  }));
}
