import {readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {parseArgs} from 'node:util';

import {regressionSeeds, scheduleOf} from './regressionSeeds.js';
import {drawSchedule, Schedule} from './schedule.js';
import {runSoak, RunResult} from './soakRun.js';

/** Plays fault schedules on real router processes; the last line of the output is a JSON summary. */

const DEFAULT_SEED = '1';
const DEFAULT_SEEDS = '1';
const DEFAULT_SECONDS = '30';
const DEFAULT_INSTANCES = '4';

const USAGE_EXIT_CODE = 2;
const USAGE =
  'usage: npm run soak -- [--seed N] [--seeds N] [--seconds S] [--instances N] [--late-loops] [--replay FILE] [--regressions] [--out DIRECTORY] [--schedule]';

/** Counts of a run or of several. */
type Counts = Record<string, number>;

function add(total: Counts, counts: Readonly<Counts>): void {
  for (const [name, count] of Object.entries(counts)) {
    total[name] = (total[name] ?? 0) + count;
  }
}

/** Sums up runs. */
class SoakSummary {
  private readonly played: Counts = {};
  private readonly outcomes: Counts = {};
  private readonly judged: Counts = {};
  private readonly violations: Counts = {};
  private readonly failedSeeds: number[] = [];
  private runs = 0;

  add(run: RunResult): void {
    this.runs++;
    add(this.played, run.played);
    add(this.outcomes, run.outcomes);
    for (const {check, result} of run.results) {
      add(this.judged, {[check]: result.judged - result.excused});
      add(this.violations, {[check]: result.violations.length});
    }
    if (run.failureFile !== undefined) {
      this.failedSeeds.push(run.schedule.seed);
    }
  }

  toJSON(): object {
    const {runs, failedSeeds, played, outcomes, judged, violations} = this;
    return {runs, failedSeeds, played, outcomes, judged, violations};
  }

  get isClean(): boolean {
    return this.failedSeeds.length === 0;
  }
}

function printRun(run: RunResult): void {
  const {schedule, results, played, outcomes} = run;
  console.log(
    `seed ${schedule.seed}: ${run.attemptCount} attempts, ${JSON.stringify({played, outcomes, longestStandMilliseconds: run.longestStandMilliseconds})}`,
  );
  for (const {check, result} of results) {
    for (const {subject, detail} of result.violations) {
      console.log(`  ${check}: ${subject}: ${detail}`);
    }
  }
  if (run.failureFile !== undefined) {
    console.log(`  explained in ${run.failureFile}`);
  }
}

/** Reads a schedule, or the file about a failure, which holds one. */
function readSchedule(file: string): Schedule {
  const content = JSON.parse(readFileSync(file, 'utf8')) as
    Schedule | {readonly schedule: Schedule};
  return 'schedule' in content ? content.schedule : content;
}

async function main(): Promise<number> {
  const {values} = parseArgs({
    options: {
      seed: {type: 'string', default: DEFAULT_SEED},
      seeds: {type: 'string', default: DEFAULT_SEEDS},
      seconds: {type: 'string', default: DEFAULT_SECONDS},
      instances: {type: 'string', default: DEFAULT_INSTANCES},
      'late-loops': {type: 'boolean', default: false},
      replay: {type: 'string'},
      regressions: {type: 'boolean', default: false},
      out: {type: 'string', default: join(tmpdir(), 'redwing-soak')},
      schedule: {type: 'boolean', default: false},
    },
  });
  const seed = Number(values.seed);
  const seconds = Number(values.seconds);
  const instanceCount = Number(values.instances);
  const numbers = [seed, Number(values.seeds), seconds, instanceCount];
  if (!numbers.every(number => Number.isInteger(number) && number > 0)) {
    console.error(USAGE);
    return USAGE_EXIT_CODE;
  }
  let schedules = [...Array(Number(values.seeds)).keys()].map(index =>
    drawSchedule({
      seed: seed + index,
      seconds,
      instanceCount,
      hasLateLoops: values['late-loops'],
    }),
  );
  if (values.regressions) {
    schedules = regressionSeeds.map(scheduleOf);
  } else if (values.replay !== undefined) {
    schedules = [readSchedule(values.replay)];
  }
  const summary = new SoakSummary();
  for (const schedule of schedules) {
    if (values.schedule) {
      console.log(JSON.stringify(schedule));
    }
    const run = await runSoak(schedule, values.out);
    printRun(run);
    summary.add(run);
  }
  console.log(JSON.stringify(summary));
  return summary.isClean ? 0 : 1;
}

process.exitCode = await main();
