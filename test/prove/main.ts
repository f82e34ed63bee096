import {parseArgs} from 'node:util';

import {LaunchedSystem} from '../support/launcher.js';
import {Point, points, Violation} from './observations.js';
import {ProofRounds, RoundReport} from './proofRounds.js';
import {launchProvedSystem} from './provedSystem.js';

/** Rounds of random faults against real processes; the last line printed is one JSON object. */

const DEFAULT_ROUNDS = '20';
const DEFAULT_SEED = '1';

interface ProofOptions {
  readonly rounds: number;
  readonly seed: number;
  /** The only round to run, to repeat a finding. */
  readonly only: number | undefined;
}

/** Counts violations, each subject once, and prints what was found. */
class ProofResult {
  requests = 0;
  faults = 0;
  private readonly seen = new Set<string>();
  private readonly counts = new Map<Point, number>();

  constructor(private readonly seed: number) {}

  get isClean(): boolean {
    return this.seen.size === 0;
  }

  take(report: RoundReport): void {
    this.faults += report.faults.length;
    const faults = report.faults.join(' and ');
    this.print(`round ${report.round} (${faults})`, report.violations);
  }

  print(where: string, violations: readonly Violation[]): void {
    for (const {point, subject, detail} of violations) {
      const mark = `${point} ${subject}`;
      if (!this.seen.has(mark)) {
        this.seen.add(mark);
        this.counts.set(point, (this.counts.get(point) ?? 0) + 1);
        console.log(`seed ${this.seed}, ${where}: ${point}: ${detail}`);
      }
    }
  }

  summary(rounds: number, seconds: number): object {
    const {requests, faults, seed} = this;
    const violations = Object.fromEntries(
      points.map(point => [point, this.counts.get(point) ?? 0]),
    );
    return {rounds, requests, faults, violations, seed, seconds};
  }
}

async function runRounds(
  system: LaunchedSystem,
  options: ProofOptions,
  result: ProofResult,
): Promise<number> {
  const rounds = new ProofRounds(system, options.seed);
  const first = options.only ?? 0;
  const end = options.only === undefined ? options.rounds : first + 1;
  for (let round = first; round < end; round++) {
    result.take(await rounds.run(round));
  }
  result.print('at the end', rounds.checkAll());
  result.requests = rounds.requestCount;
  console.log(JSON.stringify({witnesses: rounds.witnesses()}));
  await rounds.close();
  return end - first;
}

async function main(): Promise<number> {
  const {values} = parseArgs({
    options: {
      rounds: {type: 'string', default: DEFAULT_ROUNDS},
      seed: {type: 'string', default: DEFAULT_SEED},
      only: {type: 'string'},
    },
  });
  const options: ProofOptions = {
    rounds: Number(values.rounds),
    seed: Number(values.seed),
    only: values.only === undefined ? undefined : Number(values.only),
  };
  const start = performance.now();
  const result = new ProofResult(options.seed);
  const system = await launchProvedSystem();
  try {
    const rounds = await runRounds(system, options, result);
    const seconds = Math.round((performance.now() - start) / 1000);
    const counts = await system.platform.counts();
    console.log(JSON.stringify({platform: counts}));
    console.log(JSON.stringify(result.summary(rounds, seconds)));
  } finally {
    await system.dispose();
  }
  return result.isClean ? 0 : 1;
}

process.exitCode = await main();
