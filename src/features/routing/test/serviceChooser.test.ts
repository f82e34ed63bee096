import {describe, expect, test} from 'vitest';

import {SeededRandomSource} from '../../../base/common/randomSource.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';
import {ServiceChooser} from '../common/serviceChooser.js';
import {engineMember} from './routingFakes.js';

function replica(id: string, changes: Partial<UpstreamMember> = {}) {
  return engineMember(id, {role: 'service', group: 'stock', ...changes});
}

function chooser(members: readonly UpstreamMember[]) {
  const clock = new FakeClock();
  const place = {dataCentre: 'north-1', region: 'west'};
  const made = new ServiceChooser(place, clock, new SeededRandomSource(1));
  made.update(members);
  clock.advance(5000);
  return {made, clock};
}

const near = replica('near');
const region = replica('region', {dataCentre: 'north-2'});
const far = replica('far', {dataCentre: 'x', region: 'y'});
const leaving = replica('leaving', {state: 'leaving'});

describe('the chosen replica', () => {
  const none: string[] = [];
  test.each([
    {
      name: 'is in the data centre if one is there',
      among: [far, region, near],
      excluded: none,
      is: 'near',
    },
    {
      name: 'is otherwise in the region',
      among: [far, region],
      excluded: none,
      is: 'region',
    },
    {name: 'is otherwise anywhere', among: [far], excluded: none, is: 'far'},
    {
      name: 'is not excluded',
      among: [near, region],
      excluded: ['near'],
      is: 'region',
    },
    {name: 'is not leaving', among: [leaving, far], excluded: none, is: 'far'},
    {
      name: 'is none if all are leaving',
      among: [leaving],
      excluded: none,
      is: undefined,
    },
  ])('$name', ({among, excluded, is}) => {
    const choice = chooser(among).made.choose('stock', excluded);
    expect(choice.kind === 'chosen' ? choice.upstream : undefined).toBe(is);
    if (choice.kind === 'none') {
      expect(choice.retryAfterMilliseconds).toBeGreaterThan(0);
    }
  });

  test('is the less loaded of two', () => {
    const {made} = chooser([near, replica('twin')]);
    const counts = new Map<string, number>();
    for (let index = 0; index < 20; index++) {
      const choice = made.choose('stock', []);
      const name = choice.kind === 'chosen' ? choice.upstream : 'none';
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    expect(counts).toEqual(
      new Map([
        ['near', 10],
        ['twin', 10],
      ]),
    );
  });

  test('is not one that failed, until its quarantine ends', () => {
    const {made, clock} = chooser([near, far]);
    made.choose('stock', []);
    made.release('near', 'failed', 5);
    const after = made.choose('stock', []);
    clock.advance(600);
    const probe = made.choose('stock', []);
    expect([after, probe]).toMatchObject([
      {upstream: 'far'},
      {upstream: 'near'},
    ]);
  });

  test('gets no more calls than the limit learned from its refusals', () => {
    const {made} = chooser([near]);
    for (let index = 0; index < 10; index++) {
      made.choose('stock', []);
    }
    made.release('near', 'refused', 1);
    expect(made.choose('stock', []).kind).toBe('none');
    made.release('near', 'completed', 1);
    made.release('near', 'completed', 1);
    expect(made.choose('stock', []).kind).toBe('chosen');
  });
});
