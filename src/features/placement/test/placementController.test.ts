import * as fastCheck from 'fast-check';
import {afterEach, beforeEach, expect, it} from 'vitest';

import {OrderFault, PlacementSimulation} from './placementSimulation.js';

let simulation: PlacementSimulation;

beforeEach(() => {
  simulation = new PlacementSimulation();
});

afterEach(() => simulation.stop());

/** Expects that no engine, checking fencing or not, accepted an order after one of a later holder. */
function expectNoStaleOrder(simulated: PlacementSimulation): void {
  for (const {member, acceptedOrders} of simulated.engines) {
    const fencings = acceptedOrders.map(order => order.fencing);
    const sorted = [...fencings].sort((left, right) => left - right);
    expect([member.id, fencings]).toEqual([member.id, sorted]);
  }
}

it('rolls out a version with two orders per engine and then sends no more', async () => {
  simulation.start();
  await simulation.advanceTime(20_000);
  expect(simulation.allAcceptedOrders).toEqual([]);
  simulation.version = '2';
  await simulation.advanceUntilRolledOut();
  await simulation.advanceTime(60_000);
  expect(simulation.isRolledOut).toBe(true);
  expect(simulation.allAcceptedOrders.length).toBe(
    2 * simulation.engines.length,
  );
  expect(simulation.fewestServing).toBe(2);
});

it('moves one replica to a new model and leaves it there', async () => {
  simulation.start();
  await simulation.advanceTime(20_000);
  simulation.hasSecondModel = true;
  await simulation.advanceTime(400_000);
  const models = simulation.engines.map(engine => engine.heldState.model);
  expect([...models].sort().join('')).toBe('mmmmnn');
  expect(simulation.engines.every(engine => engine.isServing)).toBe(true);
  expect(simulation.allAcceptedOrders.length).toBe(4);
});

/** Faults of the first order of a rollout. */
const orderFaults: readonly OrderFault[] = [
  'answerLost',
  'requestLost',
  'pauseAfter',
];

it.each(orderFaults)(
  'completes a rollout after an order with the fault %s',
  async fault => {
    simulation.start();
    await simulation.advanceTime(20_000);
    simulation.version = '2';
    const holder = simulation.processes[0]!;
    holder.orderFaults.push(fault);
    await simulation.advanceTime(5_000);
    expect(holder.orderFaults).toEqual([]);
    await simulation.advanceTime(60_000);
    await holder.clock.resume();
    await simulation.advanceUntilRolledOut();
    expect(simulation.isRolledOut).toBe(true);
    expect(simulation.fewestServing).toBeGreaterThanOrEqual(1);
    expectNoStaleOrder(simulation);
  },
);

it('sends no orders while the table is down and continues afterwards', async () => {
  simulation.start();
  await simulation.advanceTime(20_000);
  simulation.platform.addFault({kind: 'down'}, {part: 'table'});
  await simulation.advanceTime(10_000);
  simulation.version = '2';
  await simulation.advanceTime(120_000);
  expect(simulation.allAcceptedOrders).toEqual([]);
  simulation.platform.clearFaults();
  await simulation.advanceUntilRolledOut();
  expect(simulation.isRolledOut).toBe(true);
});

it('sends no orders while the lease row cannot be parsed', async () => {
  const key = 'placement/lease/d';
  const write = (value: string | undefined) =>
    simulation.platform.rows.transact(
      [{key, value, condition: {kind: 'any'}}],
      'all',
    );
  write('{"holder": 1}');
  simulation.start();
  simulation.version = '2';
  await simulation.advanceTime(60_000);
  expect(simulation.allAcceptedOrders).toEqual([]);
  write(undefined);
  await simulation.advanceUntilRolledOut();
  expect(simulation.isRolledOut).toBe(true);
});

const randomEvent = fastCheck.record({
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

async function applyEvent(
  simulated: PlacementSimulation,
  {kind, index}: {readonly kind: string; readonly index: number},
): Promise<void> {
  const {clock, name, orderFaults: faults} = simulated.processes[index]!;
  switch (kind) {
    case 'pause':
      return clock.pause();
    case 'resume':
      return clock.resume();
    case 'tableDown':
      return simulated.platform.addFault({kind: 'down'}, {instance: name});
    case 'tableAnswerLost':
      return simulated.platform.addFault(
        {kind: 'answerLost'},
        {instance: name, times: 2},
      );
    case 'tableBack':
      return simulated.platform.clearFaults();
    case 'version2':
    case 'version3':
      simulated.version = kind.slice(-1);
      return;
    default:
      faults.push(kind as OrderFault);
  }
}

it('sends no stale orders, keeps a serving replica and completes rollouts despite random pauses and losses', async () => {
  await fastCheck.assert(
    fastCheck.asyncProperty(
      fastCheck.array(randomEvent, {minLength: 3, maxLength: 14}),
      async events => {
        const simulated = new PlacementSimulation();
        simulated.start();
        await simulated.advanceTime(12_000);
        simulated.version = '2';
        for (const event of events) {
          await applyEvent(simulated, event);
          await simulated.advanceTime(event.milliseconds);
        }
        simulated.platform.clearFaults();
        for (const {clock, orderFaults: faults} of simulated.processes) {
          faults.length = 0;
          await clock.resume();
        }
        await simulated.advanceUntilRolledOut();
        await simulated.stop();
        expectNoStaleOrder(simulated);
        expect(simulated.isRolledOut).toBe(true);
        expect(simulated.fewestServing).toBeGreaterThanOrEqual(1);
        const last = simulated.allAcceptedOrders.at(-1)?.fencing ?? 0;
        expect(await simulated.fencingInTable()).toBeGreaterThanOrEqual(last);
      },
    ),
    {numRuns: 150, seed: 1},
  );
});
