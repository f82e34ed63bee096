import {describe, expect, it} from 'vitest';

import {drawSchedule} from './schedule.js';

const SEEDS = [1, 2, 3, 20261205];

describe('drawSchedule', () => {
  it.each(SEEDS)('draws the same schedule from the seed %i', seed => {
    const options = {seed, seconds: 60, instanceCount: 6};
    const schedule = drawSchedule(options);
    expect(drawSchedule(options)).toEqual(schedule);
    expect(JSON.parse(JSON.stringify(schedule))).toEqual(schedule);
    expect(schedule).not.toEqual(drawSchedule({...options, seed: seed + 1}));
  });

  it('draws late loops beside the same other faults', () => {
    const options = {seed: 1, seconds: 60, instanceCount: 6};
    const {faults} = drawSchedule(options);
    const late = drawSchedule({...options, hasLateLoops: true}).faults;
    expect(late).toEqual(expect.arrayContaining([...faults]));
    const added = late.filter(
      ({fault}) => !faults.some(other => other.fault === fault),
    );
    expect(added.length).toBeGreaterThan(faults.length);
  });

  it('draws faults of all kinds in overlapping series', () => {
    const faults = SEEDS.flatMap(
      seed => drawSchedule({seed, seconds: 300, instanceCount: 6}).faults,
    );
    expect(new Set(faults.map(({fault}) => fault.kind)).size).toBe(10);
    const gaps = faults.map(
      ({atMilliseconds}, index) =>
        (faults[index + 1]?.atMilliseconds ?? Infinity) - atMilliseconds,
    );
    expect(gaps.filter(gap => gap < 8_000).length).toBeGreaterThan(
      faults.length / 2,
    );
  });
});
