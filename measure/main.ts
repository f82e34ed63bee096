import {parseArgs} from 'node:util';

import {measureThroughput} from './throughput.js';

/** Runs one measure and prints its figures as one JSON line, the last line of its output. */

const DEFAULT_SEED = 20261202;
const DEFAULT_SECONDS = 5;
const USAGE =
  'usage: npm run measure -- throughput [--seed N] [--seconds N] [--loads 0.8,1]';

interface MeasureOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly loads: readonly number[] | undefined;
}

const measures: Readonly<
  Record<string, (options: MeasureOptions) => Promise<object>>
> = {
  throughput: measureThroughput,
};

async function main(): Promise<number> {
  const {values, positionals} = parseArgs({
    allowPositionals: true,
    options: {
      seed: {type: 'string'},
      seconds: {type: 'string'},
      loads: {type: 'string'},
    },
  });
  const measure = measures[positionals[0] ?? ''];
  if (measure === undefined) {
    console.error(USAGE);
    return 2;
  }
  const seed = Number(values.seed ?? DEFAULT_SEED);
  const seconds = Number(values.seconds ?? DEFAULT_SECONDS);
  const loads = values.loads?.split(',').map(Number);
  console.log(`seed ${seed}`);
  console.log(JSON.stringify(await measure({seed, seconds, loads})));
  return 0;
}

process.exitCode = await main();
