import {
  RandomSource,
  SeededRandomSource,
} from '../../src/base/common/randomSource.js';
import {LaunchedSystem} from '../support/launcher.js';
import {sleep} from '../support/sleep.js';
import {checkConfigurationInForce} from './checks/configurationInForce.js';
import {checkLedgers} from './checks/checkLedgers.js';
import {checkLeavingGetsNothing} from './checks/leavingGetsNothing.js';
import {checkPlannedStopCutsNothing} from './checks/plannedStopCutsNothing.js';
import {ChosenFault, FaultMaker, faultMakers, FaultRecords} from './faults.js';
import {Follower} from './follower.js';
import {LedgerReader} from './ledgerReader.js';
import {
  LeavingWindow,
  PlannedStop,
  Submission,
  Violation,
} from './observations.js';
import {Operators} from './operators.js';
import {Entrypoints, ProofCaller} from './proofCaller.js';
import {randomWork} from './work.js';

/** What a round did and found. */
export interface RoundReport {
  readonly round: number;
  readonly faults: readonly string[];
  readonly violations: readonly Violation[];
}

const FEWEST_WORKS = 14;
const WORK_SPREAD = 10;
const PAIR_SHARE = 0.5;
const SAMPLE_MILLISECONDS = 250;
/** An accepted change is in force everywhere so long after all faults were cleared. */
const CONFIGURATION_BOUND_MILLISECONDS = 5000;
const ROUND_PRIME = 1_000_003;
const WORK_PRIME = 7919;

/** Rounds of random work and faults against one launched system. */
export class ProofRounds {
  private readonly ledgers: LedgerReader;
  private readonly caller = new ProofCaller();
  private readonly operators: Operators;
  private readonly submissions: Submission[] = [];
  private readonly windows: LeavingWindow[] = [];
  private readonly stops: PlannedStop[] = [];

  constructor(
    private readonly system: LaunchedSystem,
    private readonly seed: number,
    /** The only fault to cause; any when undefined. */
    private readonly faultName?: string,
  ) {
    this.ledgers = new LedgerReader(system);
    this.operators = new Operators(system);
  }

  /** Calls made for work. */
  get requestCount(): number {
    return this.submissions.filter(({kind}) => kind === 'work').length;
  }

  /** How much there was to check: answers by their end, keys, rebuilds, changes. */
  witnesses(): Readonly<Record<string, number>> {
    const ended = (end: string) =>
      this.submissions.filter(({answer}) => answer.end === end).length;
    const told = (executed: string) =>
      this.submissions.filter(({answer}) => answer.executed === executed)
        .length;
    const {index} = this.ledgers;
    const rebuilt = index.requestIds.filter(
      id => new Set(index.steps(id).map(({epoch}) => epoch)).size > 1,
    );
    return {
      whole: ended('whole'),
      cut: ended('cut'),
      unreachable: ended('unreachable'),
      toldNotRun: told('no'),
      toldUnknown: told('unknown'),
      toldRun: told('yes'),
      requestsInLedgers: index.requestIds.length,
      requestsOfSeveralEpochs: rebuilt.length,
      acceptedChanges: this.operators.evidence.accepted.length,
      plannedStopsAlone: this.stops.length,
      leavingUpstreams: this.windows.length,
    };
  }

  /** Runs one round; the faults are gone when it resolves. */
  async run(round: number): Promise<RoundReport> {
    const random = new SeededRandomSource(this.seed * ROUND_PRIME + round);
    const records: FaultRecords = {
      round,
      operators: this.operators,
      windows: this.windows,
      exitCodes: [],
    };
    const faults = this.chooseFaults(random, records);
    const entrypoints = await this.askAll();
    const followers = this.makeFollowers(random, round, entrypoints);
    const before = this.submissions.length;
    const windowsBefore = this.windows.length;
    const undone = await this.strikeUnderLoad(random, faults, followers);
    await this.lookUpUndone(random, undone);
    followers.forEach(({submissions}) => this.submissions.push(...submissions));
    this.noteStop(faults, records, undone);
    await this.operators.settle(CONFIGURATION_BOUND_MILLISECONDS);
    this.ledgers.readOn();
    const own = this.submissions.slice(before);
    const windows = this.windows.slice(windowsBefore);
    const touched = this.ledgers.index.takeTouched();
    const names = faults.map(({name, target}) => `${name} ${target}`);
    return {
      round,
      faults: names,
      violations: this.check(own, windows, touched),
    };
  }

  /** Looks at everything again; work may have run after its round. */
  checkAll(): readonly Violation[] {
    this.ledgers.readOn();
    const {requestIds} = this.ledgers.index;
    return this.check(this.submissions, this.windows, requestIds);
  }

  async close(): Promise<void> {
    await this.caller.close();
  }

  private chooseFaults(
    random: RandomSource,
    records: FaultRecords,
  ): readonly ChosenFault[] {
    const groups = this.faultGroups();
    const count = random.next() < PAIR_SHARE ? 2 : 1;
    return Array.from({length: count}, () => {
      const group = groups[random.nextInteger(groups.length)]!;
      const makers = Object.values(group);
      const maker = makers[random.nextInteger(makers.length)]!;
      return maker(this.system, random, records);
    });
  }

  private faultGroups(): ReadonlyArray<Readonly<Record<string, FaultMaker>>> {
    const groups = Object.values(faultMakers);
    const name = this.faultName;
    if (name === undefined) {
      return groups;
    }
    const maker = groups.flatMap(group => group[name] ?? [])[0];
    if (maker === undefined) {
      throw new Error(`no fault has the name ${name}`);
    }
    return [{[name]: maker}];
  }

  private get addresses(): readonly string[] {
    return this.system.instances.map(({member}) => member.callerAddress);
  }

  private askAll(): Promise<ReadonlyArray<Entrypoints | undefined>> {
    return Promise.all(
      this.addresses.map(address => this.caller.entrypoints(address)),
    );
  }

  private makeFollowers(
    random: RandomSource,
    round: number,
    entrypoints: ReadonlyArray<Entrypoints | undefined>,
  ): readonly Follower[] {
    const count = FEWEST_WORKS + random.nextInteger(WORK_SPREAD);
    return Array.from({length: count}, (_, number) => {
      const work = randomWork(random, round, number);
      const seed = this.seed * ROUND_PRIME + round * WORK_PRIME + number;
      const own = new SeededRandomSource(seed);
      const kept = entrypoints[number % entrypoints.length];
      const {addresses} = this;
      const book = {addresses, current: () => Promise.resolve(kept)};
      return new Follower(this.caller, work, book, own);
    });
  }

  /** Answers the followers whose work was not done. */
  private async strikeUnderLoad(
    random: RandomSource,
    faults: readonly ChosenFault[],
    followers: readonly Follower[],
  ): Promise<readonly Follower[]> {
    const duration = Math.max(...faults.map(({milliseconds}) => milliseconds));
    const sampling = this.sampleWhile(sleep(duration));
    const striking = faults.map(async fault => {
      await sleep(random.nextInteger(Math.min(duration, 500) / 2));
      await fault.strike();
    });
    const running = followers.map(async follower => {
      await sleep(random.nextInteger(duration));
      return (await follower.run()) ? undefined : follower;
    });
    await Promise.all(striking);
    await sleep(duration);
    // In turn: two faults may have struck one process.
    for (const fault of faults) {
      await fault.clear();
    }
    await this.system.awaitReady();
    const undone = await Promise.all(running);
    await sampling;
    return undone.flatMap(follower => follower ?? []);
  }

  private async sampleWhile(lasting: Promise<void>): Promise<void> {
    let hasEnded = false;
    const end = lasting.then(() => {
      hasEnded = true;
    });
    while (!hasEnded) {
      await this.operators.sampleAll();
      await Promise.race([sleep(SAMPLE_MILLISECONDS), end]);
    }
  }

  private async lookUpUndone(
    random: RandomSource,
    undone: readonly Follower[],
  ): Promise<void> {
    const {addresses} = this;
    await Promise.all(
      undone.map(follower =>
        follower.lookUp(addresses[random.nextInteger(addresses.length)]!),
      ),
    );
  }

  /** A stop beside faults that take nothing away from callers must fail nothing. */
  private noteStop(
    faults: readonly ChosenFault[],
    records: FaultRecords,
    undone: readonly Follower[],
  ): void {
    const isAlone = faults.every(
      fault => fault.isQuiet || fault.name === 'entryStopped',
    );
    const [exit] = records.exitCodes;
    if (exit === undefined || !isAlone) {
      return;
    }
    const failedWork = undone.map(({submissions}) =>
      JSON.stringify(
        submissions.map(({work, address, answer}) => ({
          work: work.businessKey,
          address,
          ...answer,
        })),
      ),
    );
    const {round} = records;
    const {instance, code} = exit;
    this.stops.push({round, instance, exitCode: code, failedWork});
  }

  private check(
    submissions: readonly Submission[],
    windows: readonly LeavingWindow[],
    requestIds: readonly string[],
  ): readonly Violation[] {
    const {index} = this.ledgers;
    const {layerCount} = this.system.options;
    return [
      ...checkLedgers(submissions, index, layerCount, requestIds),
      ...checkLeavingGetsNothing(windows, index),
      ...checkPlannedStopCutsNothing(this.stops),
      ...checkConfigurationInForce(this.operators.evidence),
    ];
  }
}
