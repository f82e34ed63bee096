import * as fastCheck from 'fast-check';
import {afterEach, beforeEach, expect, it} from 'vitest';

import {OrderFault, PlacementWorld} from './placementWorld.js';

let world: PlacementWorld;

beforeEach(() => {
  world = new PlacementWorld();
});

afterEach(() => world.stop());

/** At no engine, whether or not it checks, does an order come after one of a later holder. */
function expectNoStaleOrder(seen: PlacementWorld): void {
  for (const {member, taken} of seen.engines) {
    const fencings = taken.map(order => order.fencing);
    const sorted = [...fencings].sort((left, right) => left - right);
    expect([member.id, fencings]).toEqual([member.id, sorted]);
  }
}

it('rolls a version out with two orders per engine, then rests', async () => {
  world.start();
  await world.pass(20_000);
  expect(world.taken).toEqual([]);
  world.version = '2';
  await world.passUntilRolledOut();
  await world.pass(60_000);
  expect(world.isRolledOut).toBe(true);
  expect(world.taken.length).toBe(2 * world.engines.length);
  expect(world.fewestServing).toBe(2);
});

/** What strikes the first order of a rollout. */
const orderFaults: readonly OrderFault[] = [
  'answerLost',
  'requestLost',
  'pauseAfter',
];

it.each(orderFaults)('comes through an order with %s', async fault => {
  world.start();
  await world.pass(20_000);
  world.version = '2';
  const holder = world.processes[0]!;
  holder.orderFaults.push(fault);
  await world.pass(5_000);
  expect(holder.orderFaults).toEqual([]);
  await world.pass(60_000);
  await holder.clock.resume();
  await world.passUntilRolledOut();
  expect(world.isRolledOut).toBe(true);
  expect(world.fewestServing).toBeGreaterThanOrEqual(1);
  expectNoStaleOrder(world);
});

it('stands still while the table is down and goes on afterwards', async () => {
  world.start();
  await world.pass(20_000);
  world.platform.addFault({kind: 'down'}, {part: 'table'});
  await world.pass(10_000);
  world.version = '2';
  await world.pass(120_000);
  expect(world.taken).toEqual([]);
  world.platform.clearFaults();
  await world.passUntilRolledOut();
  expect(world.isRolledOut).toBe(true);
});

const happening = fastCheck.record({
  milliseconds: fastCheck.constantFrom(1_000, 4_000, 15_000, 45_000),
  kind: fastCheck.constantFrom(
    'pause',
    'resume',
    'answerLost',
    'requestLost',
    'pauseAfter',
    'tableDown',
    'tableAnswerLost',
    'tableBack',
    'version2',
    'version3',
  ),
  index: fastCheck.integer({min: 0, max: 1}),
});

async function strike(
  seen: PlacementWorld,
  {kind, index}: {readonly kind: string; readonly index: number},
): Promise<void> {
  const {clock, name, orderFaults: faults} = seen.processes[index]!;
  switch (kind) {
    case 'pause':
      return clock.pause();
    case 'resume':
      return clock.resume();
    case 'tableDown':
      return seen.platform.addFault({kind: 'down'}, {instance: name});
    case 'tableAnswerLost':
      return seen.platform.addFault(
        {kind: 'answerLost'},
        {instance: name, times: 2},
      );
    case 'tableBack':
      return seen.platform.clearFaults();
    case 'version2':
    case 'version3':
      seen.version = kind.slice(-1);
      return;
    default:
      faults.push(kind as OrderFault);
  }
}

it('sends nothing stale, keeps a replica and arrives, whatever pauses or is lost', async () => {
  await fastCheck.assert(
    fastCheck.asyncProperty(
      fastCheck.array(happening, {minLength: 3, maxLength: 14}),
      async happenings => {
        const seen = new PlacementWorld();
        seen.start();
        await seen.pass(12_000);
        seen.version = '2';
        for (const one of happenings) {
          await strike(seen, one);
          await seen.pass(one.milliseconds);
        }
        seen.platform.clearFaults();
        for (const {clock, orderFaults: faults} of seen.processes) {
          faults.length = 0;
          await clock.resume();
        }
        await seen.passUntilRolledOut();
        await seen.stop();
        expectNoStaleOrder(seen);
        expect(seen.isRolledOut).toBe(true);
        expect(seen.fewestServing).toBeGreaterThanOrEqual(1);
        const last = seen.taken.at(-1)?.fencing ?? 0;
        expect(await seen.fencingInTable()).toBeGreaterThanOrEqual(last);
      },
    ),
    {numRuns: 150, seed: 1},
  );
});
