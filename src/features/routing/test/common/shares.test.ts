import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {fairLevel} from '../../common/maxMinShare.js';
import {WorkEstimate} from '../../common/routing.js';
import {
  SHARE_TIME_CONSTANT_MILLISECONDS,
  ShareAccounting,
} from '../../common/shareAccounting.js';
import {assessFairShare} from '../../common/fairShareStatus.js';

const claimants = fc.array(
  fc.record({
    demand: fc.integer({min: 1, max: 1000}),
    weight: fc.integer({min: 1, max: 5}),
  }),
  {minLength: 1, maxLength: 12},
);

describe('fairLevel', () => {
  it('uses up the capacity or satisfies all demands', () => {
    fc.assert(
      fc.property(
        claimants,
        fc.integer({min: 1, max: 3000}),
        (all, capacity) => {
          const level = fairLevel(all, capacity);
          const granted = all.map(claimant =>
            Math.min(claimant.demand, claimant.weight * level),
          );
          const total = granted.reduce((a, b) => a + b, 0);
          const demand = all.reduce(
            (sum, claimant) => sum + claimant.demand,
            0,
          );
          expect(total).toBeCloseTo(Math.min(demand, capacity), 6);
        },
      ),
      {seed: 3},
    );
  });
});

describe('ShareAccounting', () => {
  it('decays usage and demand and computes the mean work of a class', () => {
    const accounts = new ShareAccounting();
    accounts.addDemand('c', 'a', 100, 0);
    accounts.addDemand('c', 'b', 200, 0);
    accounts.addDemand('c', 'b', 100, 0, 0);
    accounts.addUsage('c', 'a', 100, 0);
    accounts.addUsage('c', 'a', -40, 10);
    const view = accounts.view(new Map(), SHARE_TIME_CONSTANT_MILLISECONDS);
    expect(view.usedByAccount.get('c/a')).toBeCloseTo(60 / Math.E);
    expect(view.usedByClass.get('c')).toBeCloseTo(60 / Math.E);
    expect(view.demandByAccount.get('c/b')).toBeCloseTo(300 / Math.E);
    expect(view.workByClass?.get('c')).toBeCloseTo(200);
  });

  it('drops small sums, and the smallest ones if there are too many', () => {
    const accounts = new ShareAccounting();
    for (let index = 0; index < 20000; index += 1) {
      accounts.addDemand('c', `a${index}`, 10, 0);
    }
    accounts.addDemand('c', 'large', 1e6, 0);
    const early = accounts.view(new Map(), 0).demandByAccount;
    expect(early.size).toBeLessThanOrEqual(4096);
    expect(early.get('c/large')).toBe(1e6);
    const later = accounts.view(new Map(), 100000).demandByAccount;
    expect([...later.keys()]).toEqual(['c/large']);
  });
});

type Sums = Readonly<Record<string, number>>;
const cases: ReadonlyArray<[string, Sums, Sums, Sums, string, number, number]> =
  [
    // title, demand, usage, class targets, class/account, excess, contention
    [
      'finds no excess without contention',
      {'c/a': 90},
      {'c/a': 90},
      {c: 1},
      'c/a',
      0,
      0,
    ],
    [
      'finds a positive excess of the larger of two accounts',
      {'c/a': 160, 'c/b': 40},
      {'c/a': 70, 'c/b': 30},
      {c: 1},
      'c/a',
      70 / 60 - 1,
      0.5,
    ],
    [
      'finds no excess of the smaller of two accounts',
      {'c/a': 160, 'c/b': 40},
      {'c/a': 70, 'c/b': 30},
      {c: 1},
      'c/b',
      30 / 40 - 1,
      0.5,
    ],
    [
      'finds an excess in a class that exceeds its target while another is below',
      {'c/a': 100, 'd/a': 100},
      {'c/a': 60, 'd/a': 40},
      {c: 1, d: 3},
      'c/a',
      60 / 25 - 1,
      0.5,
    ],
    [
      'lets a class use what another leaves',
      {'c/a': 180, 'd/a': 20},
      {'c/a': 80, 'd/a': 20},
      {c: 1, d: 3},
      'c/a',
      0,
      0.5,
    ],
    [
      'finds no excess of an unknown account',
      {'c/a': 20},
      {'c/a': 10},
      {c: 1},
      'c/n',
      0,
      0.5,
    ],
    [
      'allows for random variation in one class within the share over all classes',
      {'g/s': 30, 'g/l': 100, 'd/s': 5, 'd/l': 100},
      {'g/s': 30, 'g/l': 30, 'd/s': 5, 'd/l': 35},
      {g: 1, d: 1},
      'g/s',
      (30 - 25 - 1 - Math.sqrt(25)) / 25,
      1 - 100 / 235,
    ],
    [
      'allows for no random variation beyond the share over all classes',
      {'g/s': 30, 'g/l': 100, 'd/s': 5, 'd/l': 100},
      {'g/s': 25, 'g/l': 35, 'd/s': 5, 'd/l': 35},
      {g: 1, d: 1},
      'g/l',
      (35 - 25 - 1) / 25,
      1 - 100 / 235,
    ],
  ];

describe('assessFairShare', () => {
  it.each(cases)(
    '%s',
    (_, demand, usage, targetRates, key, excess, contention) => {
      const [classOfWork, clientAccount] = key.split('/');
      const usedByClass = new Map<string, number>();
      for (const [classAndAccount, amount] of Object.entries(usage)) {
        const name = classAndAccount.split('/')[0]!;
        usedByClass.set(name, (usedByClass.get(name) ?? 0) + amount);
      }
      const shares = {
        demandByAccount: new Map(Object.entries(demand)),
        usedByAccount: new Map(Object.entries(usage)),
        usedByClass,
        targetRateByClass: new Map(Object.entries(targetRates)),
        workByClass: new Map([['g', 1]]),
      };
      const work = {classOfWork, clientAccount} as WorkEstimate;
      const status = assessFairShare(shares, work);
      expect(status.excess).toBeCloseTo(excess);
      expect(status.contention).toBeCloseTo(contention);
    },
  );
});
