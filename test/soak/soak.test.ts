import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {describe, expect, it} from 'vitest';

import {regressionSeeds, scheduleOf} from './regressionSeeds.js';
import {runSoak} from './soakRun.js';

/** The part of the soak that runs with all tests. */

const SEEDS = regressionSeeds.slice(0, 1);
const TIMEOUT_MILLISECONDS = 120_000;

describe('router processes under a schedule of faults', () => {
  it.each(SEEDS)(
    'keep the rules with the seed $seed, which failed since $cause',
    async regression => {
      const directory = join(tmpdir(), 'redwing-soak');
      const schedule = scheduleOf(regression);
      const run = await runSoak(schedule, directory);
      const broken = run.results.flatMap(({check, result}) =>
        result.violations.map(
          ({subject, detail}) => `${check}: ${subject}: ${detail}`,
        ),
      );
      expect(broken, run.failureFile).toEqual([]);
      expect(run.played['SIGTERM']).toBeGreaterThan(0);
      expect(run.outcomes['served']).toBeGreaterThan(0);
    },
    TIMEOUT_MILLISECONDS,
  );
});
