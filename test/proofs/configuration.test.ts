import {afterAll, beforeAll, expect, it} from 'vitest';

import {checkConfigurationInForce} from '../prove/checks/configurationInForce.js';
import {Operators} from '../prove/operators.js';
import {launchProvedSystem} from '../prove/provedSystem.js';
import {LaunchedSystem} from '../support/launcher.js';

/** Accepted changes at seven instances while operators race and the store fails. */

const INSTANCES = 7;
const BOUND_MILLISECONDS = 5000;

let system: LaunchedSystem;
let operators: Operators;
let changes = 0;

beforeAll(async () => {
  system = await launchProvedSystem({
    instances: INSTANCES,
    replicas: 1,
    services: [],
  });
  operators = new Operators(system);
});

afterAll(() => system?.dispose());

function change(index: number): Promise<boolean> {
  changes++;
  return operators.change(system.instances[index]!, `account-${changes}`);
}

/** Seconds until all instances show what was accepted. */
async function inForce(name: string): Promise<void> {
  const start = performance.now();
  await operators.settle(BOUND_MILLISECONDS);
  const seconds = (performance.now() - start) / 1000;
  expect(checkConfigurationInForce(operators.evidence)).toEqual([]);
  console.log(
    `${name}: ${seconds.toFixed(2)} s to the last of ${system.instances.length} instances`,
  );
}

it('a change is in force everywhere', async () => {
  expect(await change(0)).toBe(true);
  await inForce('a change');
});

it('operators race at all instances, with answers lost after their effect', async () => {
  await system.platform.setFault({
    fault: {kind: 'answerLost'},
    part: 'table',
    access: 'write',
    times: 4,
  });
  const before = operators.highestAccepted;
  await Promise.all(system.instances.map((_, index) => change(index)));
  await system.platform.setFault({fault: {kind: 'clear'}});
  expect(await change(1)).toBe(true);
  expect(operators.highestAccepted).toBeGreaterThan(before);
  await inForce('racing operators');
});

it('the store goes down right after a change was accepted', async () => {
  expect(await change(2)).toBe(true);
  await system.platform.setFault({fault: {kind: 'down'}, part: 'table'});
  await inForce('the store down after');
  expect(await change(3)).toBe(false);
  await inForce('a change refused while the store is down');
  await system.platform.setFault({fault: {kind: 'clear'}});
});

it('an instance is cut off from the store, not from its peers', async () => {
  const instance = system.instances[4]!.id;
  await system.platform.setFault({fault: {kind: 'down'}, instance});
  expect(await change(5)).toBe(true);
  await inForce('one cut off from the store');
  await system.platform.setFault({fault: {kind: 'clear'}});
});

it('a control program paused over a change takes it up when it wakes', async () => {
  const {control} = system.instances[6]!;
  control.freeze();
  expect(await change(0)).toBe(true);
  control.resume();
  await inForce('one paused over the change');
});

it('an instance that starts during an outage serves nothing older than what was accepted', async () => {
  expect(await change(0)).toBe(true);
  await system.platform.setFault({fault: {kind: 'down'}, part: 'table'});
  const fresh = await system.startInstance();
  await system.until('it answers', async () => {
    return (await operators.sample(fresh)) !== undefined;
  });
  const wanted = operators.highestAccepted;
  const isOlder = async (): Promise<boolean> => {
    const isReady = await fresh.isReady();
    const shown = await operators.sample(fresh);
    return isReady && (shown?.revision ?? 0) < wanted;
  };
  const end = performance.now() + 2000;
  while (performance.now() < end) {
    expect(await isOlder()).toBe(false);
  }
  await system.platform.setFault({fault: {kind: 'clear'}});
  await system.awaitReady([fresh]);
  await inForce('one started during an outage');
});
