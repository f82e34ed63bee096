import {describe, expect, it} from 'vitest';
import {SeededRandomSource} from '../../../../base/common/randomSource.js';
import {CellSummary, chooseCells} from '../../common/chooseCells.js';
import {WorkEstimate} from '../../common/routing.js';

const work = {firstTokenWithin: 500} as WorkEstimate;

function summary(cell: string, change: Partial<CellSummary> = {}): CellSummary {
  return {
    cell,
    model: 'm',
    dataCentre: cell[0]!,
    freeSlots: 4,
    earliestStartMilliseconds: 0,
    linkMilliseconds: 1,
    ageMilliseconds: 100,
    ...change,
  };
}

const full = {freeSlots: 0, earliestStartMilliseconds: 300};
const cases: ReadonlyArray<[string, readonly CellSummary[], string]> = [
  ['no cell', [], ''],
  ['another model', [summary('a1', {model: 'n'})], ''],
  ['near before far', [summary('b1'), summary('a1')], 'a1 b1'],
  ['free before full', [summary('a1', full), summary('a2')], 'a2 a1'],
  [
    'late ones last',
    [summary('a1', {...full, earliestStartMilliseconds: 900}), summary('b1')],
    'b1 a1',
  ],
  [
    'long links last',
    [summary('b1', {linkMilliseconds: 300}), summary('a1')],
    'a1 b1',
  ],
  [
    'a cell never heard of is still asked',
    [summary('a1', {ageMilliseconds: Infinity})],
    'a1',
  ],
];

describe('chooseCells', () => {
  it.each(cases)('%s', (_, summaries, expected) => {
    const random = new SeededRandomSource(1);
    const chosen = chooseCells(summaries, 'm', work, 'a', random);
    expect(chosen.join(' ')).toBe(expected);
  });

  it('asks at most three, none twice, and spreads by free slots unless figures are old', () => {
    const shareOfFirst = (ageMilliseconds: number): number => {
      const random = new SeededRandomSource(2);
      const summaries = [8, 1, 1, 1].map((freeSlots, index) =>
        summary(`a${index}`, {freeSlots, ageMilliseconds}),
      );
      summaries.push(summary('b1'), summary('b2'));
      let first = 0;
      for (let count = 0; count < 1000; count += 1) {
        const chosen = chooseCells(summaries, 'm', work, 'a', random);
        expect(new Set(chosen).size).toBe(3);
        first += chosen.includes('a0') ? 1 : 0;
      }
      return first / 1000;
    };
    expect(shareOfFirst(0)).toBeGreaterThan(0.75);
    expect(shareOfFirst(60000)).toBeCloseTo(0.5, 1);
  });
});
