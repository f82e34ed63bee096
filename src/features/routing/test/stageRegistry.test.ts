import {afterEach, describe, expect, test} from 'vitest';

import {SeededRandomSource} from '../../../base/common/randomSource.js';
import {SilentMetrics} from '../../../infrastructure/metrics/common/metrics.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {HealthChange} from '../common/upstreamHealthTracker.js';
import {ReportPoller} from '../node/reportPoller.js';
import {StageRegistry} from '../node/stageRegistry.js';
import {engineMember, FakeEngines} from './routingFakes.js';

let poller: ReportPoller;

afterEach(() => poller.dispose());

async function startPolling(ids: readonly string[]) {
  const clock = new FakeClock();
  const engines = new FakeEngines();
  ids.forEach(id => engines.set(id));
  const changes: HealthChange[] = [];
  const registry = new StageRegistry(change => changes.push(change));
  poller = new ReportPoller(
    registry,
    engines,
    clock,
    new SeededRandomSource(1),
    new SilentMetrics(),
  );
  registry.track(
    ids.map(id => engineMember(id)),
    0,
  );
  poller.start();
  await clock.advanceAsync(3000);
  const isUsable = (id: string): boolean => {
    const view = registry.viewOf(id, clock.monotonicMilliseconds());
    return view !== undefined && view.health !== 'quarantined';
  };
  return {clock, engines, registry, changes, isUsable};
}

describe('an engine that refuses connections', () => {
  test('gets no new work until it reports again, however long that takes', async () => {
    const {clock, engines, isUsable} = await startPolling(['e1', 'e2']);
    engines.reports.delete('e1');
    await clock.advanceAsync(1300);
    for (let round = 0; round < 50; round++) {
      expect(isUsable('e1')).toBe(false);
      await clock.advanceAsync(100);
    }
    engines.set('e1');
    await clock.advanceAsync(600);
    expect([isUsable('e1'), isUsable('e2')]).toEqual([true, true]);
  });
});

describe('an engine that failed steps', () => {
  const decodeMilliseconds = undefined;
  const linkMilliseconds = undefined;
  const failed = {
    upstream: 'e1',
    outcome: 'failed' as const,
    decodeMilliseconds,
    linkMilliseconds,
    steps: 0,
  };
  test.each([
    {name: 'the same process', incarnation: 'e1-1', usable: false},
    {name: 'a new process', incarnation: 'e1-2', usable: true},
  ])(
    'twice and then reports as $name: usable is $usable',
    async ({incarnation, usable}) => {
      const ids = ['e1', 'e2', 'e3', 'e4'];
      const {clock, engines, registry, isUsable} = await startPolling(ids);
      registry.observe(failed, clock.monotonicMilliseconds());
      await clock.advanceAsync(600);
      registry.observe(failed, clock.monotonicMilliseconds());
      engines.set('e1', {engineIncarnation: incarnation});
      poller.pollSoon('e1');
      await clock.advanceAsync(700);
      expect(isUsable('e1')).toBe(usable);
    },
  );
});

test('a pause of this process does not change the health of engines', async () => {
  const {clock, engines, changes} = await startPolling(['e1', 'e2', 'e3']);
  engines.isSilent = true;
  await clock.advanceAsync(1250);
  clock.pause(60000);
  engines.isSilent = false;
  await clock.advanceAsync(100);
  expect(changes).toEqual([]);
});

test('an engine that misses two reports in a row counts as failed', async () => {
  const {clock, engines, changes} = await startPolling(['e1', 'e2', 'e3']);
  engines.isSilent = true;
  await clock.advanceAsync(1900);
  expect(changes.length).toBe(0);
  await clock.advanceAsync(2000);
  expect(changes.length).toBeGreaterThanOrEqual(3);
});
