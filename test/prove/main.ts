import {parseArgs} from 'node:util';

import {LaunchedSystem} from '../support/launcher.js';
import {FaultInjectionRounds, RoundReport} from './faultInjectionRounds.js';
import {Invariant, invariants, Violation} from './observations.js';
import {launchSystemUnderTest} from './systemUnderTest.js';

/** Runs fault-injection rounds against real processes; the last line of the output is a JSON summary. */

const DEFAULT_ROUNDS = '20';
const DEFAULT_SEED = '1';

interface RunOptions {
  readonly rounds: number;
  readonly seed: number;
  /** The only round to run, to reproduce a violation. */
  readonly only: number | undefined;
  /** Name of the only fault to inject. */
  readonly fault: string | undefined;
}

/** Prints and counts violations, once per invariant and subject. */
class ViolationReport {
  requests = 0;
  faults = 0;
  private readonly reported = new Set<string>();
  private readonly counts = new Map<Invariant, number>();

  constructor(private readonly seed: number) {}

  get isClean(): boolean {
    return this.reported.size === 0;
  }

  addRound(report: RoundReport): void {
    this.faults += report.faults.length;
    const faults = report.faults.join(' and ');
    this.printNew(`round ${report.round} (${faults})`, report.violations);
  }

  printNew(where: string, violations: readonly Violation[]): void {
    for (const {invariant, subject, detail} of violations) {
      const violationKey = `${invariant} ${subject}`;
      if (!this.reported.has(violationKey)) {
        this.reported.add(violationKey);
        this.counts.set(invariant, (this.counts.get(invariant) ?? 0) + 1);
        console.log(`seed ${this.seed}, ${where}: ${invariant}: ${detail}`);
      }
    }
  }

  summary(rounds: number, seconds: number): object {
    const {requests, faults, seed} = this;
    const violations = Object.fromEntries(
      invariants.map(invariant => [invariant, this.counts.get(invariant) ?? 0]),
    );
    return {rounds, requests, faults, violations, seed, seconds};
  }
}

async function runRounds(
  system: LaunchedSystem,
  options: RunOptions,
  report: ViolationReport,
): Promise<number> {
  const rounds = new FaultInjectionRounds(system, options.seed, options.fault);
  const first = options.only ?? 0;
  const end = options.only === undefined ? options.rounds : first + 1;
  for (let round = first; round < end; round++) {
    report.addRound(await rounds.run(round));
  }
  report.printNew('at the end', rounds.checkAll());
  report.requests = rounds.requestCount;
  console.log(JSON.stringify({witnesses: rounds.coverage()}));
  await rounds.close();
  return end - first;
}

async function main(): Promise<number> {
  const {values} = parseArgs({
    options: {
      rounds: {type: 'string', default: DEFAULT_ROUNDS},
      seed: {type: 'string', default: DEFAULT_SEED},
      only: {type: 'string'},
      fault: {type: 'string'},
    },
  });
  const options: RunOptions = {
    rounds: Number(values.rounds),
    seed: Number(values.seed),
    only: values.only === undefined ? undefined : Number(values.only),
    fault: values.fault,
  };
  const start = performance.now();
  const report = new ViolationReport(options.seed);
  const system = await launchSystemUnderTest();
  try {
    const rounds = await runRounds(system, options, report);
    const seconds = Math.round((performance.now() - start) / 1000);
    const counts = await system.platform.counts();
    console.log(JSON.stringify({platform: counts}));
    console.log(JSON.stringify(report.summary(rounds, seconds)));
  } finally {
    await system.dispose();
  }
  return report.isClean ? 0 : 1;
}

process.exitCode = await main();
