import {describe, expect, it} from 'vitest';
import {ConcurrencyLimit} from '../../common/concurrencyLimit.js';

describe('ConcurrencyLimit', () => {
  it.each([
    ['stays at the engine limit without contention', () => 10, 16, 16],
    [
      'settles near twice the load from which decode time grows linearly',
      (resident: number) => 10 * Math.max(1, resident / 4),
      6,
      9,
    ],
    [
      'falls to 1 if decode time keeps growing',
      (_: number, round: number) => 10 * 1.05 ** round,
      1,
      1,
    ],
  ])('%s', (_, decodeMillisecondsOf, minimum, maximum) => {
    const limit = new ConcurrencyLimit();
    limit.observe('u', 10, 1, 16, 0);
    for (let round = 1; round < 300; round += 1) {
      const resident = limit.limit('u', 16);
      limit.observe(
        'u',
        decodeMillisecondsOf(resident, round),
        resident,
        16,
        round * 1000,
      );
    }
    expect(limit.limit('u', 16)).toBeGreaterThanOrEqual(minimum);
    expect(limit.limit('u', 16)).toBeLessThanOrEqual(maximum);
    expect(limit.limit('u', 1)).toBe(1);
  });
});
