import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {fairLevel} from '../../common/maxMinShare.js';
import {WorkEstimate} from '../../common/routing.js';
import {
  SHARE_TIME_CONSTANT_MILLISECONDS,
  ShareAccounts,
} from '../../common/shareAccounts.js';
import {shareStanding} from '../../common/shareStanding.js';

const claimants = fc.array(
  fc.record({
    wanted: fc.integer({min: 1, max: 1000}),
    weight: fc.integer({min: 1, max: 5}),
  }),
  {minLength: 1, maxLength: 12},
);

describe('fairLevel', () => {
  it('uses up the capacity, or satisfies all wants', () => {
    fc.assert(
      fc.property(
        claimants,
        fc.integer({min: 1, max: 3000}),
        (all, capacity) => {
          const level = fairLevel(all, capacity);
          const given = all.map(one =>
            Math.min(one.wanted, one.weight * level),
          );
          const total = given.reduce((a, b) => a + b, 0);
          const wanted = all.reduce((sum, one) => sum + one.wanted, 0);
          expect(total).toBeCloseTo(Math.min(wanted, capacity), 6);
        },
      ),
      {seed: 3},
    );
  });
});

describe('ShareAccounts', () => {
  it('decays use and want, and tells the mean work of a class', () => {
    const accounts = new ShareAccounts();
    accounts.recordWant('c', 'a', 100, 0);
    accounts.recordWant('c', 'b', 200, 0);
    accounts.recordWant('c', 'b', 100, 0, 0);
    accounts.recordUse('c', 'a', 100, 0);
    accounts.recordUse('c', 'a', -40, 10);
    const view = accounts.view(new Map(), SHARE_TIME_CONSTANT_MILLISECONDS);
    expect(view.usedByAccount.get('c/a')).toBeCloseTo(60 / Math.E);
    expect(view.usedByClass.get('c')).toBeCloseTo(60 / Math.E);
    expect(view.wantedByAccount.get('c/b')).toBeCloseTo(300 / Math.E);
    expect(view.workByClass?.get('c')).toBeCloseTo(200);
  });

  it('drops small sums, and the smallest of too many', () => {
    const accounts = new ShareAccounts();
    for (let index = 0; index < 20000; index += 1) {
      accounts.recordWant('c', `a${index}`, 10, 0);
    }
    accounts.recordWant('c', 'large', 1e6, 0);
    const soon = accounts.view(new Map(), 0).wantedByAccount;
    expect(soon.size).toBeLessThanOrEqual(4096);
    expect(soon.get('c/large')).toBe(1e6);
    const later = accounts.view(new Map(), 100000).wantedByAccount;
    expect([...later.keys()]).toEqual(['c/large']);
  });
});

type Sums = Readonly<Record<string, number>>;
const cases: ReadonlyArray<[string, Sums, Sums, Sums, string, number, number]> =
  [
    // name, wanted, used, class targets, class/account, excess, contention
    ['nobody turned away', {'c/a': 90}, {'c/a': 90}, {c: 1}, 'c/a', 0, 0],
    [
      'the large one of two',
      {'c/a': 160, 'c/b': 40},
      {'c/a': 70, 'c/b': 30},
      {c: 1},
      'c/a',
      70 / 60 - 1,
      0.5,
    ],
    [
      'the small one of two',
      {'c/a': 160, 'c/b': 40},
      {'c/a': 70, 'c/b': 30},
      {c: 1},
      'c/b',
      30 / 40 - 1,
      0.5,
    ],
    [
      'a class over its target beside one under',
      {'c/a': 100, 'd/a': 100},
      {'c/a': 60, 'd/a': 40},
      {c: 1, d: 3},
      'c/a',
      60 / 25 - 1,
      0.5,
    ],
    [
      'a class may use what another leaves',
      {'c/a': 180, 'd/a': 20},
      {'c/a': 80, 'd/a': 20},
      {c: 1, d: 3},
      'c/a',
      0,
      0.5,
    ],
    [
      'an account not seen yet',
      {'c/a': 20},
      {'c/a': 10},
      {c: 1},
      'c/n',
      0,
      0.5,
    ],
    [
      'beyond its part of a class by chance, within its share in all',
      {'g/s': 30, 'g/l': 100, 'd/s': 5, 'd/l': 100},
      {'g/s': 30, 'g/l': 30, 'd/s': 5, 'd/l': 35},
      {g: 1, d: 1},
      'g/s',
      (30 - 25 - 1 - Math.sqrt(25)) / 25,
      1 - 100 / 235,
    ],
    [
      'no chance is allowed for beyond the share in all',
      {'g/s': 30, 'g/l': 100, 'd/s': 5, 'd/l': 100},
      {'g/s': 25, 'g/l': 35, 'd/s': 5, 'd/l': 35},
      {g: 1, d: 1},
      'g/l',
      (35 - 25 - 1) / 25,
      1 - 100 / 235,
    ],
  ];

describe('shareStanding', () => {
  it.each(cases)('%s', (_, wanted, used, targets, key, excess, contention) => {
    const [classOfWork, clientAccount] = key.split('/');
    const usedByClass = new Map<string, number>();
    for (const [each, amount] of Object.entries(used)) {
      const name = each.split('/')[0]!;
      usedByClass.set(name, (usedByClass.get(name) ?? 0) + amount);
    }
    const shares = {
      wantedByAccount: new Map(Object.entries(wanted)),
      usedByAccount: new Map(Object.entries(used)),
      usedByClass,
      targetByClass: new Map(Object.entries(targets)),
      workByClass: new Map([['g', 1]]),
    };
    const work = {classOfWork, clientAccount} as WorkEstimate;
    const standing = shareStanding(shares, work);
    expect(standing.excess).toBeCloseTo(excess);
    expect(standing.contention).toBeCloseTo(contention);
  });
});
