import {describe, expect, it} from 'vitest';
import {SeededRandomSource} from '../../../../base/common/randomSource.js';
import {ConcurrencyLimit} from '../../common/concurrencyLimit.js';
import {HedgePolicy} from '../../common/hedgePolicy.js';
import {OutputLengthEstimator} from '../../common/outputLengthEstimator.js';
import {RetryBudget} from '../../common/retryBudget.js';

describe('RetryBudget', () => {
  it('bounds attempts through an outage, and after it', () => {
    const budget = new RetryBudget();
    let retries = 0;
    for (let now = 0; now < 1000; now += 1) {
      retries += budget.trySpend('c', 'u', now) ? 1 : 0;
    }
    expect(retries).toBe(3);
    for (let now = 1000; now < 1100; now += 1) {
      budget.recordSuccess('c', 'u', now);
      retries += budget.trySpend('c', 'u', now) ? 1 : 0;
    }
    expect(retries).toBeLessThanOrEqual(3 + 20);
    expect(budget.trySpend('other', 'u', 1100)).toBe(true);
  });

  it('forgets old successes', () => {
    const budget = new RetryBudget();
    for (let count = 0; count < 1000; count += 1) {
      budget.recordSuccess('c', 'u', 0);
    }
    let retries = 0;
    while (budget.trySpend('c', 'u', 100000)) {
      retries += 1;
    }
    expect(retries).toBe(3);
  });

  it.each([
    [1, 20],
    [2, 40],
    [9, 2000],
  ])('attempt %s waits at most %s ms', (attempt, most) => {
    const random = new SeededRandomSource(1);
    const budget = new RetryBudget();
    const waits = [...Array(500)].map(() =>
      budget.backoffMilliseconds(attempt, random),
    );
    expect(Math.max(...waits)).toBeLessThan(most);
    expect(Math.max(...waits)).toBeGreaterThan(most * 0.9);
    expect(Math.min(...waits)).toBeLessThan(most * 0.1);
  });
});

describe('HedgePolicy', () => {
  it('hedges idempotent work past the 95th percentile, within the budget', () => {
    const hedge = new HedgePolicy(new RetryBudget());
    expect(hedge.hedgeAfterMilliseconds('c', true)).toBe(undefined);
    for (let milliseconds = 1; milliseconds <= 100; milliseconds += 1) {
      hedge.record('c', milliseconds);
    }
    expect(hedge.hedgeAfterMilliseconds('c', true)).toBe(95);
    expect(hedge.tryHedge('c', 'u', false, 500, 0)).toBe(false);
    expect(hedge.tryHedge('c', 'u', true, 95, 0)).toBe(false);
    const tries = [1, 2, 3, 4].map(() => hedge.tryHedge('c', 'u', true, 96, 0));
    expect(tries).toEqual([true, true, true, false]);
  });
});

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

describe('OutputLengthEstimator', () => {
  it('prefers the account, then the class, then the maximum', () => {
    const estimator = new OutputLengthEstimator();
    expect(estimator.estimate('c', 'a', 500)).toBe(500);
    for (let length = 1; length <= 10; length += 1) {
      estimator.record('c', 'a', length * 10);
      estimator.record('c', 'b', length * 20);
    }
    expect(estimator.estimate('c', 'a', 500)).toBe(80);
    expect(estimator.estimate('c', 'a', 50)).toBe(50);
    expect(estimator.estimate('c', 'n', 500)).toBe(120);
    expect(estimator.estimate('d', 'a', 500)).toBe(500);
  });
});
