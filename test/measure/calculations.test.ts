import {describe, expect, it} from 'vitest';

import {fitCoefficients, fitLine} from '../../measure/common/linearFit.js';
import {
  TimedRequest,
  computeRecovery,
} from '../../measure/common/recoveryTime.js';

/** Creates requests 10 ms apart, from time 0; those that start in one of the intervals miss their targets. */
function createRequests(
  until: number,
  missed: ReadonlyArray<readonly [number, number]>,
): readonly TimedRequest[] {
  return Array.from({length: until / 10}, (_, index) => {
    const startedAt = index * 10;
    const hasMetTargets = !missed.some(
      ([from, to]) => startedAt >= from && startedAt < to,
    );
    return {startedAt, hasMetTargets};
  });
}

describe('computeRecovery', () => {
  const cases: ReadonlyArray<{
    readonly name: string;
    readonly missed: ReadonlyArray<readonly [number, number]>;
    readonly endAt: number;
    readonly seconds: number;
    readonly recovered: boolean;
  }> = [
    {
      name: 'is 0 when all requests meet their targets',
      missed: [],
      endAt: 4000,
      seconds: 0,
      recovered: true,
    },
    {
      name: 'ends at the last miss of the last degraded window',
      missed: [[1000, 1830]],
      endAt: 4000,
      seconds: 0.82,
      recovered: true,
    },
    {
      name: 'ignores misses before the fault',
      missed: [[0, 1000]],
      endAt: 4000,
      seconds: 0,
      recovered: true,
    },
    {
      name: 'ignores a window with two misses in fifty requests',
      missed: [[2000, 2020]],
      endAt: 4000,
      seconds: 0,
      recovered: true,
    },
    {
      name: 'counts a late window with three misses in fifty requests',
      missed: [
        [1000, 1100],
        [2700, 2730],
      ],
      endAt: 4000,
      seconds: 1.72,
      recovered: true,
    },
    {
      name: 'is not recovered when requests miss their targets to the end',
      missed: [[1000, 4000]],
      endAt: 4000,
      seconds: 3,
      recovered: false,
    },
    {
      name: 'merges a shorter last window into the one before',
      missed: [[3500, 3600]],
      endAt: 3600,
      seconds: 2.6,
      recovered: false,
    },
  ];
  it.each(cases)('$name', ({missed, endAt, seconds, recovered}) => {
    const found = computeRecovery(createRequests(4000, missed), 1000, endAt);
    expect(found).toEqual({seconds, recovered});
  });
});

describe('linear fit', () => {
  it('finds the coefficients from which the measurements were computed', () => {
    const regressors = [
      [1, 2, 3],
      [4, 1, 1],
      [0, 5, 2],
      [3, 3, 9],
    ];
    const measurements = regressors.map(([a, b, c]) => 2 * a + 0.5 * b + 7 * c);
    const fitted = fitCoefficients(
      regressors.map((row, index) => ({
        regressors: row,
        measurement: measurements[index],
      })),
    );
    expect(fitted.map(value => Math.round(value * 1e6) / 1e6)).toEqual([
      2, 0.5, 7,
    ]);
  });

  it('returns the intercept, the slope and the coefficient of determination of a line', () => {
    const points = [1, 2, 3, 4].map(x => ({x, y: 10 + 3 * x}));
    const line = fitLine(points);
    expect(line.intercept).toBeCloseTo(10);
    expect(line.slope).toBeCloseTo(3);
    expect(line.rSquared).toBeCloseTo(1);
  });

  it('throws when the regressors are linearly dependent', () => {
    const observations = [1, 2, 3].map(x => ({
      regressors: [x, 2 * x],
      measurement: x,
    }));
    expect(() => fitCoefficients(observations)).toThrow('do not determine');
  });
});
