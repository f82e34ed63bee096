import {SeededRandomSource} from '../../src/base/common/randomSource.js';
import {FakeClock, runPendingCallbacks} from './fakeClock.js';

/** Plays instances that exchange messages with random peers, on one simulated clock. */

/** Length of a step of the simulated time. */
export const STEP_MILLISECONDS = 20;

const ROUND_PERIOD_MILLISECONDS = 400;
const PEERS_PER_ROUND = 4;

/** Keeps the first rounds of instances apart; has no common factor with the period. */
const PHASE_STEP_MILLISECONDS = 37;

const START_MILLISECONDS = 100_000;

/** An instance of the simulation. */
export abstract class GossipingInstance {
  isRunning = true;
  /** Instances exchange messages only within their side of a partition. */
  side = 0;

  constructor(readonly index: number) {}

  /** Whether a round of the instance begins within the step at a time of the play. */
  isRoundDue(now: number): boolean {
    const phase = this.index * PHASE_STEP_MILLISECONDS;
    const sinceRound = (now + phase) % ROUND_PERIOD_MILLISECONDS;
    return this.isRunning && sinceRound < STEP_MILLISECONDS;
  }
}

/** What is the same in all situations that a simulation plays. */
export interface GossipScenario<Simulation> {
  readonly lengthMilliseconds: number;
  /** What happens to the instances, called before each step. */
  readonly disturb?: (simulation: Simulation, now: number) => void;
}

/** The instances and their rounds; subclasses add what the messages contain and what is sent to upstreams. */
export abstract class GossipSimulation<T extends GossipingInstance> {
  readonly clock = new FakeClock();
  readonly instances: T[] = [];

  constructor(protected readonly random: SeededRandomSource) {
    this.clock.advance(START_MILLISECONDS);
  }

  protected abstract readonly scenario: GossipScenario<this>;

  /** Plays the scenario. */
  run(): void {
    const {lengthMilliseconds} = this.scenario;
    for (let now = 0; now < lengthMilliseconds; now += STEP_MILLISECONDS) {
      this.step(now);
    }
  }

  /** Plays the scenario, and lets what waits for answers of the platform go on after each step. */
  async runAsync(): Promise<void> {
    const {lengthMilliseconds} = this.scenario;
    for (let now = 0; now < lengthMilliseconds; now += STEP_MILLISECONDS) {
      this.step(now);
      await runPendingCallbacks();
    }
  }

  private step(now: number): void {
    this.scenario.disturb?.(this, now);
    this.instances
      .filter(instance => instance.isRoundDue(now))
      .forEach(instance => this.runRound(instance));
    this.sendRequests(now);
    this.clock.advance(STEP_MILLISECONDS);
    this.progress();
  }

  /** One round of an instance: it exchanges messages with random peers. */
  protected runRound(instance: T): void {
    for (let count = 0; count < PEERS_PER_ROUND; count++) {
      const index = this.random.nextInteger(this.instances.length);
      this.contact(instance, this.instances[index]!);
    }
  }

  /** Exchanges messages between two instances if they reach one another. */
  protected contact(one: T, other: T): void {
    if (one === other) {
      return;
    }
    if (other.isRunning && one.side === other.side) {
      this.exchange(one, other);
    } else {
      this.onUnreachable(one, other);
    }
  }

  protected abstract exchange(one: T, other: T): void;

  /** Called when an instance didn't reach a peer. */
  protected onUnreachable(one: T, peer: T): void {
    void [one, peer];
  }

  protected abstract sendRequests(now: number): void;

  /** Called after each step. */
  protected progress(): void {}
}
