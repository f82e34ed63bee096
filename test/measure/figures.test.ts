import {describe, expect, it} from 'vitest';

import {fitCoefficients, fitLine} from '../../measure/common/linearFit.js';
import {ArrivedRequest, recoveryOf} from '../../measure/common/recoveryTime.js';

/** Requests 10 ms apart from time 0; those that start in one of the spans miss their targets. */
function arrivals(
  until: number,
  missed: ReadonlyArray<readonly [number, number]>,
): readonly ArrivedRequest[] {
  return Array.from({length: until / 10}, (_, index) => {
    const startedAt = index * 10;
    const met = !missed.some(
      ([from, to]) => startedAt >= from && startedAt < to,
    );
    return {startedAt, met};
  });
}

describe('recovery time', () => {
  const cases: ReadonlyArray<{
    readonly name: string;
    readonly missed: ReadonlyArray<readonly [number, number]>;
    readonly endAt: number;
    readonly seconds: number;
    readonly recovered: boolean;
  }> = [
    {
      name: 'nothing missed',
      missed: [],
      endAt: 4000,
      seconds: 0,
      recovered: true,
    },
    {
      name: 'the last miss of the last bad window counts',
      missed: [[1000, 1830]],
      endAt: 4000,
      seconds: 0.82,
      recovered: true,
    },
    {
      name: 'misses before the fault do not count',
      missed: [[0, 1000]],
      endAt: 4000,
      seconds: 0,
      recovered: true,
    },
    {
      name: 'two misses in a window of fifty are good enough',
      missed: [[2000, 2020]],
      endAt: 4000,
      seconds: 0,
      recovered: true,
    },
    {
      name: 'three are not, however late',
      missed: [
        [1000, 1100],
        [2700, 2730],
      ],
      endAt: 4000,
      seconds: 1.72,
      recovered: true,
    },
    {
      name: 'missed to the end',
      missed: [[1000, 4000]],
      endAt: 4000,
      seconds: 3,
      recovered: false,
    },
    {
      name: 'a window cut short joins the one before',
      missed: [[3500, 3600]],
      endAt: 3600,
      seconds: 2.6,
      recovered: false,
    },
  ];
  it.each(cases)('$name', ({missed, endAt, seconds, recovered}) => {
    const found = recoveryOf(arrivals(4000, missed), 1000, endAt);
    expect(found).toEqual({seconds, recovered});
  });
});

describe('linear fits', () => {
  it('finds the coefficients that made the figures', () => {
    const regressors = [
      [1, 2, 3],
      [4, 1, 1],
      [0, 5, 2],
      [3, 3, 9],
    ];
    const figures = regressors.map(([a, b, c]) => 2 * a + 0.5 * b + 7 * c);
    const fitted = fitCoefficients(
      regressors.map((one, index) => ({
        regressors: one,
        figure: figures[index],
      })),
    );
    expect(fitted.map(one => Math.round(one * 1e6) / 1e6)).toEqual([2, 0.5, 7]);
  });

  it('gives intercept, slope and how much of the variance they explain', () => {
    const points = [1, 2, 3, 4].map(at => ({at, figure: 10 + 3 * at}));
    const line = fitLine(points);
    expect(line.intercept).toBeCloseTo(10);
    expect(line.slope).toBeCloseTo(3);
    expect(line.explained).toBeCloseTo(1);
  });

  it('refuses observations that tell two quantities apart nowhere', () => {
    const observations = [1, 2, 3].map(one => ({
      regressors: [one, 2 * one],
      figure: one,
    }));
    expect(() => fitCoefficients(observations)).toThrow('do not determine');
  });
});
