import fc from 'fast-check';
import {describe, expect, test} from 'vitest';

import {InstanceView} from '../../membership/common/systemView.js';
import {EntrypointCandidate, orderEntrypoints} from '../common/entrypoints.js';
import {instanceView} from './callerFakes.js';

const local = {dataCentre: 'dc1', region: 'east'};

function candidates(views: readonly InstanceView[]): EntrypointCandidate[] {
  return views.map(view => ({view, weight: 1}));
}

function leaving(view: InstanceView): InstanceView {
  return {...view, member: {...view.member, state: 'leaving'}};
}

describe('order of entrypoints', () => {
  test.each([
    {
      name: 'lists the local data centre first, then the region, then the rest',
      views: [
        instanceView('c', 'far'),
        instanceView('b', 'dc2'),
        instanceView('a', 'dc1'),
      ],
      expected: ['a:80', 'b:80', 'c:80'],
    },
    {
      name: 'leaves out instances that are not ready or are leaving',
      views: [
        instanceView('a', 'dc1', false),
        leaving(instanceView('b')),
        instanceView('c', 'dc2'),
      ],
      expected: ['c:80'],
    },
    {name: 'is empty when no instance is known', views: [], expected: []},
  ])('$name', ({views, expected}) => {
    expect(orderEntrypoints(candidates(views), 'one', local)).toEqual(expected);
  });

  test('removing an instance moves only the accounts that used it', () => {
    const all = candidates(['a', 'b', 'c', 'd'].map(id => instanceView(id)));
    const without = all.filter(({view}) => view.member.id !== 'b');
    fc.assert(
      fc.property(fc.string(), account => {
        const before = orderEntrypoints(all, account, local);
        const after = orderEntrypoints(without, account, local);
        expect(after).toEqual(before.filter(address => address !== 'b:80'));
      }),
      {seed: 7, numRuns: 200},
    );
  });

  test('accounts are distributed in proportion to the weights', () => {
    const weighted = ['a', 'b'].map((id, index) => ({
      view: instanceView(id),
      weight: index + 1,
    }));
    let heavierCount = 0;
    for (let account = 0; account < 3000; account += 1) {
      const [first] = orderEntrypoints(weighted, `account-${account}`, local);
      heavierCount += first === 'b:80' ? 1 : 0;
    }
    expect(heavierCount).toBeGreaterThan(1850);
    expect(heavierCount).toBeLessThan(2150);
  });
});
