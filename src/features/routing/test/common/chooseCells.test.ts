import {describe, expect, it} from 'vitest';
import {SeededRandomSource} from '../../../../base/common/randomSource.js';
import {CellSummary, chooseCells} from '../../common/chooseCells.js';
import {WorkEstimate} from '../../common/routing.js';

const work = {firstTokenWithinMilliseconds: 500} as WorkEstimate;

function summary(
  cell: string,
  changes: Partial<CellSummary> = {},
): CellSummary {
  return {
    cell,
    model: 'm',
    dataCentre: cell[0]!,
    freeSlots: 4,
    earliestStartMilliseconds: 0,
    linkMilliseconds: 1,
    ageMilliseconds: 100,
    ...changes,
  };
}

const noFreeSlots = {freeSlots: 0, earliestStartMilliseconds: 300};
const cases: ReadonlyArray<[string, readonly CellSummary[], string]> = [
  ['chooses nothing if there are no cells', [], ''],
  ['leaves out cells of other models', [summary('a1', {model: 'n'})], ''],
  ['prefers the own data centre', [summary('b1'), summary('a1')], 'a1 b1'],
  [
    'prefers cells with free slots',
    [summary('a1', noFreeSlots), summary('a2')],
    'a2 a1',
  ],
  [
    'puts cells last that start after the first-token target',
    [
      summary('a1', {...noFreeSlots, earliestStartMilliseconds: 900}),
      summary('b1'),
    ],
    'b1 a1',
  ],
  [
    'puts cells last whose link latency exceeds the first-token target',
    [summary('b1', {linkMilliseconds: 300}), summary('a1')],
    'a1 b1',
  ],
  [
    'chooses a cell without a summary',
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

  it('chooses three distinct cells, by free slots unless the summaries are old', () => {
    const shareWithFirst = (ageMilliseconds: number): number => {
      const random = new SeededRandomSource(2);
      const summaries = [8, 1, 1, 1].map((freeSlots, index) =>
        summary(`a${index}`, {freeSlots, ageMilliseconds}),
      );
      summaries.push(summary('b1'), summary('b2'));
      let countOfFirst = 0;
      for (let count = 0; count < 1000; count += 1) {
        const chosen = chooseCells(summaries, 'm', work, 'a', random);
        expect(new Set(chosen).size).toBe(3);
        countOfFirst += chosen.includes('a0') ? 1 : 0;
      }
      return countOfFirst / 1000;
    };
    expect(shareWithFirst(0)).toBeGreaterThan(0.75);
    expect(shareWithFirst(60000)).toBeCloseTo(0.5, 1);
  });
});
