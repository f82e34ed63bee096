import {
  RandomSource,
  SeededRandomSource,
} from '../../src/base/common/randomSource.js';
import {LaunchedSystem} from '../support/launcher.js';
import {sleep} from '../support/sleep.js';
import {checkLedgers} from './checks/checkLedgers.js';
import {checkConfigurationInForce} from './checks/configurationInForce.js';
import {checkLeavingGetsNothing} from './checks/leavingGetsNothing.js';
import {checkPlannedStopCutsNothing} from './checks/plannedStopCutsNothing.js';
import {
  InjectedFault,
  FaultFactory,
  faultFactories,
  FaultContext,
} from './faults.js';
import {LedgerReader} from './ledgerReader.js';
import {
  LeavingWindow,
  PlannedStop,
  Submission,
  Violation,
} from './observations.js';
import {OperatorClient} from './operatorClient.js';
import {RetryingCaller} from './retryingCaller.js';
import {Entrypoints, TestClient} from './testClient.js';
import {randomWork} from './work.js';

/** The injected faults of a round and the violations found after it. */
export interface RoundReport {
  readonly round: number;
  readonly faults: readonly string[];
  readonly violations: readonly Violation[];
}

const MINIMUM_WORK_ITEMS = 14;
const WORK_ITEM_RANGE = 10;
const TWO_FAULTS_PROBABILITY = 0.5;
const SAMPLE_INTERVAL_MILLISECONDS = 250;
/** Within this time after all faults were cleared, an accepted change must be in force at all instances. */
const CONVERGENCE_TIMEOUT_MILLISECONDS = 5000;
const ROUND_PRIME = 1_000_003;
const WORK_PRIME = 7919;

/** Runs rounds of random work under random faults against one launched system, and checks the invariants. */
export class FaultInjectionRounds {
  private readonly ledgers: LedgerReader;
  private readonly client = new TestClient();
  private readonly operatorClient: OperatorClient;
  private readonly submissions: Submission[] = [];
  private readonly leavingWindows: LeavingWindow[] = [];
  private readonly plannedStops: PlannedStop[] = [];

  constructor(
    private readonly system: LaunchedSystem,
    private readonly seed: number,
    /** Name of the only fault to inject; all are possible when undefined. */
    private readonly faultFilter?: string,
  ) {
    this.ledgers = new LedgerReader(system);
    this.operatorClient = new OperatorClient(system);
  }

  /** Submissions of work, without lookups. */
  get requestCount(): number {
    return this.submissions.filter(({kind}) => kind === 'work').length;
  }

  /** Counts of what the checks covered: responses by end and `executed`, rebuilds, configuration changes. */
  coverage(): Readonly<Record<string, number>> {
    const countByEnd = (end: string) =>
      this.submissions.filter(({response}) => response.end === end).length;
    const countByExecuted = (executed: string) =>
      this.submissions.filter(({response}) => response.executed === executed)
        .length;
    const {index} = this.ledgers;
    const rebuiltRequests = index.requestIds.filter(
      id => new Set(index.steps(id).map(({epoch}) => epoch)).size > 1,
    );
    return {
      whole: countByEnd('whole'),
      cut: countByEnd('cut'),
      unreachable: countByEnd('unreachable'),
      toldNotRun: countByExecuted('no'),
      toldUnknown: countByExecuted('unknown'),
      toldRun: countByExecuted('yes'),
      requestsInLedgers: index.requestIds.length,
      requestsOfSeveralEpochs: rebuiltRequests.length,
      acceptedChanges: this.operatorClient.evidence.accepted.length,
      plannedStopsAlone: this.plannedStops.length,
      leavingUpstreams: this.leavingWindows.length,
    };
  }

  /** Runs one round; resolves when all faults are cleared. */
  async run(round: number): Promise<RoundReport> {
    const random = new SeededRandomSource(this.seed * ROUND_PRIME + round);
    const context: FaultContext = {
      round,
      operatorClient: this.operatorClient,
      leavingWindows: this.leavingWindows,
      exitCodes: [],
    };
    const faults = this.chooseFaults(random, context);
    const entrypoints = await this.fetchEntrypoints();
    const callers = this.createCallers(random, round, entrypoints);
    const submissionsBefore = this.submissions.length;
    const windowsBefore = this.leavingWindows.length;
    const unfinished = await this.injectUnderLoad(random, faults, callers);
    await this.lookUpUnfinished(random, unfinished);
    callers.forEach(({submissions}) => this.submissions.push(...submissions));
    this.recordPlannedStop(faults, context, unfinished);
    await this.operatorClient.awaitConvergence(
      CONVERGENCE_TIMEOUT_MILLISECONDS,
    );
    this.ledgers.readNewEntries();
    const roundSubmissions = this.submissions.slice(submissionsBefore);
    const leavingWindows = this.leavingWindows.slice(windowsBefore);
    const updatedRequestIds = this.ledgers.index.takeUpdatedRequestIds();
    const names = faults.map(({name, target}) => `${name} ${target}`);
    return {
      round,
      faults: names,
      violations: this.check(
        roundSubmissions,
        leavingWindows,
        updatedRequestIds,
      ),
    };
  }

  /** Checks the evidence of all rounds again, because work may have run after the end of its round. */
  checkAll(): readonly Violation[] {
    this.ledgers.readNewEntries();
    const {requestIds} = this.ledgers.index;
    return this.check(this.submissions, this.leavingWindows, requestIds);
  }

  async close(): Promise<void> {
    await this.client.close();
  }

  private chooseFaults(
    random: RandomSource,
    context: FaultContext,
  ): readonly InjectedFault[] {
    const groups = this.faultGroups();
    const count = random.next() < TWO_FAULTS_PROBABILITY ? 2 : 1;
    return Array.from({length: count}, () => {
      const group = groups[random.nextInteger(groups.length)]!;
      const factories = Object.values(group);
      const factory = factories[random.nextInteger(factories.length)]!;
      return factory(this.system, random, context);
    });
  }

  private faultGroups(): ReadonlyArray<Readonly<Record<string, FaultFactory>>> {
    const groups = Object.values(faultFactories);
    const name = this.faultFilter;
    if (name === undefined) {
      return groups;
    }
    const factory = groups.flatMap(group => group[name] ?? [])[0];
    if (factory === undefined) {
      throw new Error(`unknown fault: ${name}`);
    }
    return [{[name]: factory}];
  }

  private get addresses(): readonly string[] {
    return this.system.instances.map(({member}) => member.callerAddress);
  }

  private fetchEntrypoints(): Promise<ReadonlyArray<Entrypoints | undefined>> {
    return Promise.all(
      this.addresses.map(address => this.client.entrypoints(address)),
    );
  }

  private createCallers(
    random: RandomSource,
    round: number,
    entrypoints: ReadonlyArray<Entrypoints | undefined>,
  ): readonly RetryingCaller[] {
    const count = MINIMUM_WORK_ITEMS + random.nextInteger(WORK_ITEM_RANGE);
    return Array.from({length: count}, (_, workNumber) => {
      const work = randomWork(random, round, workNumber);
      const seed = this.seed * ROUND_PRIME + round * WORK_PRIME + workNumber;
      const callerRandom = new SeededRandomSource(seed);
      const cachedEntrypoints = entrypoints[workNumber % entrypoints.length];
      const {addresses} = this;
      const entrypointSource = {
        addresses,
        current: () => Promise.resolve(cachedEntrypoints),
      };
      return new RetryingCaller(
        this.client,
        work,
        entrypointSource,
        callerRandom,
      );
    });
  }

  /** Injects and clears the faults while the callers run; resolves to the callers whose work is not completed. */
  private async injectUnderLoad(
    random: RandomSource,
    faults: readonly InjectedFault[],
    callers: readonly RetryingCaller[],
  ): Promise<readonly RetryingCaller[]> {
    const duration = Math.max(
      ...faults.map(({durationMilliseconds}) => durationMilliseconds),
    );
    const sampling = this.sampleUntil(sleep(duration));
    const injections = faults.map(async fault => {
      await sleep(random.nextInteger(Math.min(duration, 500) / 2));
      await fault.inject();
    });
    const runs = callers.map(async caller => {
      await sleep(random.nextInteger(duration));
      return (await caller.run()) ? undefined : caller;
    });
    await Promise.all(injections);
    await sleep(duration);
    // One after the other, because two faults may affect the same process.
    for (const fault of faults) {
      await fault.clear();
    }
    await this.system.waitUntilReady();
    const unfinished = await Promise.all(runs);
    await sampling;
    return unfinished.flatMap(caller => caller ?? []);
  }

  private async sampleUntil(finished: Promise<void>): Promise<void> {
    let hasEnded = false;
    const end = finished.then(() => {
      hasEnded = true;
    });
    while (!hasEnded) {
      await this.operatorClient.sampleAll();
      await Promise.race([sleep(SAMPLE_INTERVAL_MILLISECONDS), end]);
    }
  }

  private async lookUpUnfinished(
    random: RandomSource,
    unfinished: readonly RetryingCaller[],
  ): Promise<void> {
    const {addresses} = this;
    await Promise.all(
      unfinished.map(caller =>
        caller.lookUp(addresses[random.nextInteger(addresses.length)]!),
      ),
    );
  }

  /** Records a planned stop for the check, unless another fault of the round may itself make requests fail. */
  private recordPlannedStop(
    faults: readonly InjectedFault[],
    context: FaultContext,
    unfinished: readonly RetryingCaller[],
  ): void {
    const isAlone = faults.every(
      fault => fault.isHarmlessToCallers || fault.name === 'entryStopped',
    );
    const [exit] = context.exitCodes;
    if (exit === undefined || !isAlone) {
      return;
    }
    const failedWork = unfinished.map(({submissions}) =>
      JSON.stringify(
        submissions.map(({work, address, response}) => ({
          work: work.businessKey,
          address,
          ...response,
        })),
      ),
    );
    const {round} = context;
    const {instance, code} = exit;
    this.plannedStops.push({round, instance, exitCode: code, failedWork});
  }

  private check(
    submissions: readonly Submission[],
    leavingWindows: readonly LeavingWindow[],
    requestIds: readonly string[],
  ): readonly Violation[] {
    const {index} = this.ledgers;
    const {layerCount} = this.system.options;
    return [
      ...checkLedgers(submissions, index, layerCount, requestIds),
      ...checkLeavingGetsNothing(leavingWindows, index),
      ...checkPlannedStopCutsNothing(this.plannedStops),
      ...checkConfigurationInForce(this.operatorClient.evidence),
    ];
  }
}
