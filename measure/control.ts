import {createHash} from 'node:crypto';

import {LaunchedSystem} from '../test/support/launcher.js';
import {sleep} from '../test/support/sleep.js';
import {ControlFleet, ControlPeriods, FleetUse} from './common/controlFleet.js';
import {fitCoefficients} from './common/linearFit.js';
import {median, round} from './common/statistics.js';

/**
 * What the control program uses, as slopes over the instances, the listed upstreams and the client
 * accounts, and worked out at the size that the users expect. Bytes are those read and written by the
 * process: bodies and headers, without the network's own. Entry programs are left out.
 */

/** Settings of a run. */
export interface ControlOptions {
  readonly seed: number;
  /** Seconds of each reading. */
  readonly seconds: number;
}

/** A figure's dependence: `base`, and what each unit adds. */
export interface ControlSlopes {
  readonly base: number;
  /** For each instance, beyond its line in the list. */
  readonly perInstance: number;
  /** For each listed member, instance or upstream, and each reading of the list a second. */
  readonly perMemberReadPerSecond: number;
  readonly perAccount: number;
  /** At the expected size and the periods of this run. */
  readonly expected: number;
  /** The same without the readings of the list. */
  readonly expectedWithoutList: number;
}

/** Resident memory hardly depends on the size beside what a process keeps free, so the highest reading is stated. */
export interface ControlMemory {
  readonly highestBytes: number;
  readonly perAccount: number;
}

/** Changes of the configuration. */
export interface ChangeReport {
  readonly instances: number;
  readonly accounts: number;
  /** From the proposal's sending until in force at the last instance. */
  readonly medianSeconds: number;
  readonly worstSeconds: number;
  /** Over all instances together, beyond what they use without changes. */
  readonly cpuMilliseconds: number;
  readonly bytes: number;
}

/** The outcome of a run. */
export interface ControlReport {
  readonly seed: number;
  readonly periods: ControlPeriods;
  readonly readings: ReadonlyArray<FleetUse & Regressors>;
  readonly cpuShare: ControlSlopes;
  readonly residentBytes: ControlMemory;
  readonly bytesPerSecond: ControlSlopes;
  readonly changes: readonly ChangeReport[];
}

interface Regressors {
  readonly upstreams: number;
  readonly accounts: number;
}

/** The size that the users expect within two years. */
export const EXPECTED = {
  instances: 370,
  upstreams: 2400,
  accounts: 5800,
} as const;

const PERIODS: ControlPeriods = {
  headReadSeconds: 3,
  membershipReadSeconds: 2,
  peerExchangeSeconds: 2,
  confirmationBoundSeconds: 12,
};

const INSTANCES = [3, 7, 14, 28];
const UPSTREAMS = [50, 500, 3000];
const ACCOUNTS = [1000, 5800];
const ACCOUNTS_PER_PROPOSAL = 1000;
const SETTLE_MILLISECONDS = 1000;
const TIMED_CHANGES = 5;
const COUNTED_CHANGES = 4;
const CHANGE_SPACING_MILLISECONDS = 250;
const PROBE_CLASS = 'probe';

/** Grows a fleet of control programs and reads what they use. */
export async function measureControl(
  options: ControlOptions,
): Promise<ControlReport> {
  const system = await LaunchedSystem.launch({
    instances: 0,
    replicas: 1,
    stagesPerReplica: 1,
    services: [],
    ledgerFiles: false,
  });
  const fleet = new ControlFleet(system, PERIODS);
  try {
    return await new ControlBench(fleet, options).run();
  } finally {
    await fleet.dispose();
    await system.dispose();
  }
}

class ControlBench {
  private readonly readings: Array<FleetUse & Regressors> = [];
  private upstreams = 1;
  private accounts = 0;
  private changes = 0;

  constructor(
    private readonly fleet: ControlFleet,
    private readonly options: ControlOptions,
  ) {}

  async run(): Promise<ControlReport> {
    await this.fleet.growTo(INSTANCES[0]);
    await this.changeClass();
    await this.fleet.awaitServing();
    await this.read();
    for (const count of UPSTREAMS) {
      await this.setUpstreams(count);
      await this.read();
    }
    await this.setUpstreams(0);
    for (const size of INSTANCES.slice(1)) {
      await this.fleet.growTo(size);
      await this.fleet.awaitServing();
      await this.read();
    }
    const changes = [await this.readChanges()];
    for (const count of ACCOUNTS) {
      await this.setAccounts(count);
      await this.read();
    }
    changes.push(await this.readChanges());
    return {
      seed: this.options.seed,
      periods: PERIODS,
      readings: this.readings,
      cpuShare: this.slopes(one => one.cpuShare),
      residentBytes: this.memory(),
      bytesPerSecond: this.slopes(one => one.bytesPerSecond),
      changes,
    };
  }

  private async read(): Promise<void> {
    await sleep(SETTLE_MILLISECONDS);
    const use = await this.fleet.use(this.options.seconds * 1000);
    const {upstreams, accounts} = this;
    this.readings.push({...use, upstreams, accounts});
  }

  private async setUpstreams(count: number): Promise<void> {
    await this.fleet.listUpstreams(count, this.upstreams - 1);
    this.upstreams = count + 1;
  }

  private async setAccounts(count: number): Promise<void> {
    while (this.accounts < count) {
      const until = Math.min(count, this.accounts + ACCOUNTS_PER_PROPOSAL);
      const operations = Array.from(
        {length: until - this.accounts},
        (_, index) => accountOperation(this.accounts + index),
      );
      await this.fleet.propose(operations);
      this.accounts = until;
    }
  }

  /** The time until a change is in force everywhere, then the cost of changes without anybody asking. */
  private async readChanges(): Promise<ChangeReport> {
    const seconds: number[] = [];
    for (let count = 0; count < TIMED_CHANGES; count++) {
      const from = performance.now();
      const value = await this.changeClass();
      await this.fleet.awaitClass(PROBE_CLASS, value);
      seconds.push((performance.now() - from) / 1000);
    }
    const quiet = this.readings[this.readings.length - 1];
    const before = this.fleet.readings();
    for (let count = 0; count < COUNTED_CHANGES; count++) {
      await this.changeClass();
      await sleep(CHANGE_SPACING_MILLISECONDS);
    }
    await sleep(SETTLE_MILLISECONDS);
    const use = this.fleet.useSince(before);
    const passed = (performance.now() - before[0].at) / 1000;
    const perChange = (passed * this.fleet.size) / COUNTED_CHANGES;
    return {
      instances: this.fleet.size,
      accounts: this.accounts,
      medianSeconds: round(median(seconds)),
      worstSeconds: round(Math.max(...seconds)),
      cpuMilliseconds: round(
        (use.cpuShare - quiet.cpuShare) * perChange * 1000,
        1,
      ),
      bytes: Math.round(
        (use.bytesPerSecond - quiet.bytesPerSecond) * perChange,
      ),
    };
  }

  private async changeClass(): Promise<number> {
    this.changes++;
    await this.fleet.putClass(PROBE_CLASS, this.changes);
    return this.changes;
  }

  private slopes(figureOf: (use: FleetUse) => number): ControlSlopes {
    const readsPerSecond = 1 / PERIODS.membershipReadSeconds;
    const [base, perInstance, perMemberReadPerSecond, perAccount] =
      fitCoefficients(
        this.readings.map(one => ({
          figure: figureOf(one),
          regressors: [
            1,
            one.instances,
            (one.instances + one.upstreams) * readsPerSecond,
            one.accounts,
          ],
        })),
      );
    const expectedWithoutList =
      base + perInstance * EXPECTED.instances + perAccount * EXPECTED.accounts;
    const members = EXPECTED.instances + EXPECTED.upstreams;
    const list = perMemberReadPerSecond * members * readsPerSecond;
    const expected = expectedWithoutList + list;
    return {
      base,
      perInstance,
      perMemberReadPerSecond,
      perAccount,
      expected,
      expectedWithoutList,
    };
  }

  private memory(): ControlMemory {
    const resident = this.readings.map(one => one.residentBytes);
    const last = this.readings[this.readings.length - 1];
    const withoutAccounts = this.readings.filter(
      one => one.instances === last.instances && one.accounts === 0,
    );
    const [before] = withoutAccounts;
    return {
      highestBytes: Math.round(Math.max(...resident)),
      perAccount: Math.round(
        (last.residentBytes - before.residentBytes) / last.accounts,
      ),
    };
  }
}

function accountOperation(index: number): object {
  const name = `account-${index}`;
  const keyHash = createHash('sha256').update(name).digest('hex');
  return {kind: 'setClientAccount', value: {name, keyHash}};
}
