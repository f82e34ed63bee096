import {describe, expect, test} from 'vitest';

import {DecayedMean} from '../common/decayedMean.js';
import {StageLedger} from '../common/stageLedger.js';
import {engineReport} from './routingFakes.js';

interface Step {
  readonly at: number;
  readonly reserve?: string;
  readonly release?: string;
  /** Resident sequences in a load report. */
  readonly report?: number;
  readonly reportAge?: number;
  readonly incarnation?: string;
}

const HOLD = 10000;

function ledgerAfter(steps: readonly Step[]): StageLedger {
  const ledger = new StageLedger();
  for (const step of steps) {
    if (step.reserve !== undefined) {
      ledger.reserve(step.reserve, step.at, step.at + HOLD, step.at + 2 * HOLD);
    }
    if (step.release !== undefined) {
      ledger.release(step.release, step.at);
    }
    if (step.report !== undefined) {
      const report = {
        ...engineReport('e1'),
        residentSequences: step.report,
        ageMilliseconds: step.reportAge ?? 0,
        engineIncarnation: step.incarnation ?? 'first',
      };
      ledger.applyReport(report, 1, step.at);
    }
  }
  return ledger;
}

test('the link time of an engine not used yet is its shortest recent round trip', () => {
  const ledger = new StageLedger();
  [200, 2, 9].forEach(trip => ledger.applyReport(engineReport('e1'), trip, 0));
  expect(ledger.linkMilliseconds(0)).toBe(2);
});

describe('the count of sequences at an engine', () => {
  const a = {at: 0, reserve: 'a'};
  const b = {at: 0, reserve: 'b'};
  const cases: Array<{
    name: string;
    steps: Step[];
    now: number;
    count: number;
  }> = [
    {name: 'includes own reservations', steps: [a, b], now: 1, count: 2},
    {
      name: 'excludes released reservations',
      steps: [a, b, {at: 5, release: 'a'}],
      now: 6,
      count: 1,
    },
    {
      name: 'ignores the release of an unknown reservation',
      steps: [a, {at: 5, release: 'x'}],
      now: 6,
      count: 1,
    },
    {
      name: 'includes reported sequences without a reservation here',
      steps: [{at: 0, report: 3}],
      now: 1,
      count: 3,
    },
    {
      name: 'includes reported sequences with a reservation here only once',
      steps: [a, b, {at: 3000, report: 2}],
      now: 3001,
      count: 2,
    },
    {
      name: 'excludes a released reservation that an older report still counts',
      steps: [
        a,
        {at: 3000, release: 'a'},
        {at: 3100, report: 1, reportAge: 500},
      ],
      now: 3101,
      count: 0,
    },
    {
      name: 'excludes old reservations that the engine no longer holds',
      steps: [a, b, {at: 3000, report: 1}],
      now: 3001,
      count: 1,
    },
    {
      name: 'includes new reservations that the report can not show yet',
      steps: [
        {at: 2900, reserve: 'c'},
        {at: 3000, report: 0},
      ],
      now: 3001,
      count: 1,
    },
    {
      name: 'excludes expired reservations',
      steps: [a],
      now: 2 * HOLD,
      count: 0,
    },
    {
      name: 'is zero after a restart',
      steps: [a, {at: 1, report: 1}, {at: 2, report: 0, incarnation: 'next'}],
      now: 3,
      count: 0,
    },
  ];
  test.each(cases)('$name', ({steps, now, count}) => {
    expect(ledgerAfter(steps).predictFinishTimes(now).length).toBe(count);
  });

  test('includes overdue reservations, in order of their expected finish', () => {
    const late = ledgerAfter([
      {at: 100, reserve: 'b'},
      {at: 0, reserve: 'a'},
    ]);
    expect(late.predictFinishTimes(HOLD + 1000)).toEqual([HOLD, HOLD + 100]);
  });
});

describe('a decayed mean', () => {
  test.each([
    {name: 'without samples is the fallback', samples: [], now: 0, value: 7},
    {name: 'of fresh samples is their mean', samples: [2, 4], now: 0, value: 3},
    {
      name: 'of old samples approaches the fallback',
      samples: [2],
      now: 1e6,
      value: 7,
    },
  ])('$name', ({samples, now, value}) => {
    const mean = new DecayedMean(1000);
    samples.forEach(sample => mean.add(sample, 1, 0));
    expect(mean.value(7, now)).toBeCloseTo(value, 3);
  });
});
