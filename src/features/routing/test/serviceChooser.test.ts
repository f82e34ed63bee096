import {describe, expect, test} from 'vitest';

import {SeededRandomSource} from '../../../base/common/randomSource.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';
import {ServiceChooser} from '../common/serviceChooser.js';
import {engineMember} from './routingFakes.js';

function replica(id: string, changes: Partial<UpstreamMember> = {}) {
  return engineMember(id, {role: 'service', group: 'stock', ...changes});
}

function createChooser(members: readonly UpstreamMember[]) {
  const clock = new FakeClock();
  const place = {dataCentre: 'north-1', region: 'west'};
  const serviceChooser = new ServiceChooser(
    place,
    clock,
    new SeededRandomSource(1),
  );
  serviceChooser.update(members);
  clock.advance(5000);
  return {serviceChooser, clock};
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
      replicas: [far, region, near],
      excluded: none,
      expected: 'near',
    },
    {
      name: 'is otherwise in the region',
      replicas: [far, region],
      excluded: none,
      expected: 'region',
    },
    {
      name: 'is otherwise anywhere',
      replicas: [far],
      excluded: none,
      expected: 'far',
    },
    {
      name: 'is not excluded',
      replicas: [near, region],
      excluded: ['near'],
      expected: 'region',
    },
    {
      name: 'is not leaving',
      replicas: [leaving, far],
      excluded: none,
      expected: 'far',
    },
    {
      name: 'is none if all are leaving',
      replicas: [leaving],
      excluded: none,
      expected: undefined,
    },
  ])('$name', ({replicas, excluded, expected}) => {
    const choice = createChooser(replicas).serviceChooser.choose(
      'stock',
      excluded,
    );
    expect(choice.kind === 'chosen' ? choice.upstream : undefined).toBe(
      expected,
    );
    if (choice.kind === 'none') {
      expect(choice.retryAfterMilliseconds).toBeGreaterThan(0);
    }
  });

  test('is the less loaded of two', () => {
    const {serviceChooser} = createChooser([near, replica('twin')]);
    const counts = new Map<string, number>();
    for (let index = 0; index < 20; index++) {
      const choice = serviceChooser.choose('stock', []);
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
    const {serviceChooser, clock} = createChooser([near, far]);
    serviceChooser.choose('stock', []);
    serviceChooser.release('near', 'failed', 5);
    const after = serviceChooser.choose('stock', []);
    clock.advance(600);
    const probe = serviceChooser.choose('stock', []);
    expect([after, probe]).toMatchObject([
      {upstream: 'far'},
      {upstream: 'near'},
    ]);
  });

  test('gets no more calls than the limit learned from its refusals', () => {
    const {serviceChooser} = createChooser([near]);
    for (let index = 0; index < 10; index++) {
      serviceChooser.choose('stock', []);
    }
    serviceChooser.release('near', 'refused', 1);
    expect(serviceChooser.choose('stock', []).kind).toBe('none');
    serviceChooser.release('near', 'completed', 1);
    serviceChooser.release('near', 'completed', 1);
    expect(serviceChooser.choose('stock', []).kind).toBe('chosen');
  });
});
