import {describe, expect, it} from 'vitest';
import {ConcurrencyLimit} from '../../common/concurrencyLimit.js';

describe('ConcurrencyLimit', () => {
  it.each([
    ['no contention', () => 10, 16, 16],
    [
      'linear from 4',
      (resident: number) => 10 * Math.max(1, resident / 4),
      6,
      9,
    ],
    ['always slower', (_: number, round: number) => 10 * 1.05 ** round, 1, 1],
  ])('%s', (_, decode, least, most) => {
    const limit = new ConcurrencyLimit();
    limit.observe('u', 10, 1, 16, 0);
    for (let round = 1; round < 300; round += 1) {
      const resident = limit.limit('u', 16);
      limit.observe('u', decode(resident, round), resident, 16, round * 1000);
    }
    expect(limit.limit('u', 16)).toBeGreaterThanOrEqual(least);
    expect(limit.limit('u', 16)).toBeLessThanOrEqual(most);
    expect(limit.limit('u', 1)).toBe(1);
  });
});
