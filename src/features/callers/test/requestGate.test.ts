import {describe, expect, test} from 'vitest';

import {FakeClock} from '../../../../test/support/fakeClock.js';
import {SeededRandomSource} from '../../../base/common/randomSource.js';
import {InstanceView} from '../../membership/common/systemView.js';
import {redirectedShare} from '../common/instanceLoad.js';
import {RequestGate} from '../common/requestGate.js';
import {FakeLoad, FakeViews, instanceView} from './callerFakes.js';

const ACCOUNT = 'orders';

interface GateFixture {
  readonly address: string;
  readonly gate: RequestGate;
  readonly load: FakeLoad;
}

function createGate(
  id: string,
  instances: readonly InstanceView[],
  concurrentRequestLimit = 1000,
): GateFixture {
  const views = new FakeViews();
  views.current = {...views.current!, instances};
  const settings = {id, dataCentre: 'dc1', region: 'east'};
  const load = new FakeLoad();
  const gate = new RequestGate(
    views,
    new FakeClock(),
    {...settings, concurrentRequestLimit},
    load,
    new SeededRandomSource(id.charCodeAt(0)),
  );
  return {address: `${id}:80`, gate, load};
}

describe('the share of redirected requests', () => {
  test.each([
    {utilization: 0, share: 0},
    {utilization: 0.9, share: 0},
    {utilization: 0.95, share: 0.45},
    {utilization: 1, share: 0.9},
  ])('is $share at a utilization of $utilization', ({utilization, share}) => {
    expect(redirectedShare(utilization)).toBeCloseTo(share);
  });
});

describe('an overloaded instance', () => {
  const others = [instanceView('b'), instanceView('c')];
  const all = [instanceView('a'), ...others];

  test('names the others in refusals that say not executed, and comes last among the entrypoints', () => {
    const {gate, load} = createGate('a', all);
    load.utilization = 1;
    const results = Array.from({length: 200}, () => gate.tryAcquireSlot());
    const refusals = results.flatMap(slot => (slot.ok ? [] : [slot.error]));
    expect(refusals.length).toBeGreaterThan(150);
    expect(refusals.length).toBeLessThan(200);
    for (const {executed, addresses, retryAfterMilliseconds} of refusals) {
      expect(executed).toBe('no');
      expect([...addresses].sort()).toEqual(['b:80', 'c:80']);
      expect(retryAfterMilliseconds).toBeLessThan(100);
    }
    const firstAddresses = new Set(refusals.map(({addresses}) => addresses[0]));
    expect(firstAddresses.size).toBe(2);
    const lists = Array.from({length: 200}, () => gate.addressesFor(ACCOUNT));
    const lastCount = lists.filter(list => list.at(-1) === 'a:80').length;
    expect(lastCount).toBeGreaterThan(150);
    expect(lists.every(list => list.length === 3)).toBe(true);
  });

  test.each([
    {name: 'there is no other', instances: [instanceView('a')]},
    {
      name: 'no other is ready',
      instances: [instanceView('a'), instanceView('b', 'dc1', false)],
    },
  ])('takes all requests when $name', ({instances}) => {
    const {gate, load} = createGate('a', instances);
    load.utilization = 1;
    const slots = Array.from({length: 100}, () => gate.tryAcquireSlot());
    expect(slots.every(({ok}) => ok)).toBe(true);
  });

  test('names the others also when all its slots are in use', () => {
    const {gate} = createGate('a', all, 1);
    expect(gate.tryAcquireSlot().ok).toBe(true);
    expect(gate.tryAcquireSlot()).toMatchObject({
      ok: false,
      error: {executed: 'no', addresses: expect.arrayContaining(['b:80'])},
    });
  });
});

/**
 * Guards against one instance that takes all work of an account, and serves it late, while others are idle. Each
 * instance serves 14 requests/s; callers of one account send 28/s, all to the first address of one cached list.
 */
test('callers of one account that is too large for one instance are served by several', () => {
  const CAPACITY_PER_SECOND = 14;
  const ARRIVALS_PER_SECOND = 28;
  const FIRST_TOKEN_TARGET_SECONDS = 2;
  const SECONDS = 60;
  const STEPS_PER_SECOND = 5;
  const SMOOTHING = 0.3;
  const ids = ['a', 'b', 'c'];
  const instances = ids.map(id => instanceView(id));
  const fixtures = ids.map(id => createGate(id, instances));
  const queues = new Map(fixtures.map(({address}) => [address, 0]));
  const gateOf = (address: string): GateFixture =>
    fixtures.find(fixture => fixture.address === address)!;
  let cachedAddresses = fixtures[0]!.gate.addressesFor(ACCOUNT);
  const longestQueue = (): number => Math.max(...queues.values());
  const queueLengths: number[] = [];
  for (let step = 0; step < SECONDS * STEPS_PER_SECOND; step++) {
    if (step % (4 * STEPS_PER_SECOND) === 0) {
      cachedAddresses = gateOf(cachedAddresses[0]!).gate.addressesFor(ACCOUNT);
    }
    const arrivals = ARRIVALS_PER_SECOND / STEPS_PER_SECOND;
    for (let arrival = 0; arrival < arrivals; arrival++) {
      let address = cachedAddresses[0]!;
      for (let attempt = 0; attempt < 8; attempt++) {
        const slot = gateOf(address).gate.tryAcquireSlot();
        if (slot.ok) {
          queues.set(address, queues.get(address)! + 1);
          break;
        }
        address = slot.error.addresses[0]!;
      }
    }
    for (const {address, load} of fixtures) {
      const served = CAPACITY_PER_SECOND / STEPS_PER_SECOND;
      const queued = queues.get(address)!;
      queues.set(address, Math.max(0, queued - served));
      const busyShare = Math.min(1, queued / served);
      load.utilization += SMOOTHING * (busyShare - load.utilization);
    }
    queueLengths.push(longestQueue());
  }
  const worstWaitSeconds = Math.max(...queueLengths) / CAPACITY_PER_SECOND;
  expect(worstWaitSeconds).toBeLessThan(FIRST_TOKEN_TARGET_SECONDS);
});
