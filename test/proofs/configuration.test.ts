import {afterAll, beforeAll, expect, it} from 'vitest';

import {checkConfigurationInForce} from '../prove/checks/configurationInForce.js';
import {OperatorClient} from '../prove/operatorClient.js';
import {launchSystemUnderTest} from '../prove/systemUnderTest.js';
import {LaunchedSystem} from '../support/launcher.js';

/** Accepted changes must reach seven instances while operators change concurrently and the store fails. */

const INSTANCE_COUNT = 7;
const CONVERGENCE_TIMEOUT_MILLISECONDS = 5000;

let system: LaunchedSystem;
let operatorClient: OperatorClient;
let changeCount = 0;

beforeAll(async () => {
  system = await launchSystemUnderTest({
    instances: INSTANCE_COUNT,
    replicas: 1,
    services: [],
  });
  operatorClient = new OperatorClient(system);
});

afterAll(() => system?.dispose());

function addAccountAt(index: number): Promise<boolean> {
  changeCount++;
  return operatorClient.addAccount(
    system.instances[index]!,
    `account-${changeCount}`,
  );
}

/** Expects all accepted changes to be in force at all instances, and prints the seconds that this took. */
async function expectInForce(name: string): Promise<void> {
  const start = performance.now();
  await operatorClient.awaitConvergence(CONVERGENCE_TIMEOUT_MILLISECONDS);
  const seconds = (performance.now() - start) / 1000;
  expect(checkConfigurationInForce(operatorClient.evidence)).toEqual([]);
  console.log(
    `${name}: ${seconds.toFixed(2)} s to the last of ${system.instances.length} instances`,
  );
}

it('a change takes effect at all instances', async () => {
  expect(await addAccountAt(0)).toBe(true);
  await expectInForce('a change');
});

it('accepted changes of concurrent operators take effect when table responses are lost after the write', async () => {
  await system.platform.setFault({
    fault: {kind: 'answerLost'},
    part: 'table',
    access: 'write',
    times: 4,
  });
  const revisionBefore = operatorClient.highestAcceptedRevision;
  await Promise.all(system.instances.map((_, index) => addAccountAt(index)));
  await system.platform.setFault({fault: {kind: 'clear'}});
  expect(await addAccountAt(1)).toBe(true);
  expect(operatorClient.highestAcceptedRevision).toBeGreaterThan(
    revisionBefore,
  );
  await expectInForce('concurrent operators');
});

it('an accepted change takes effect when the store fails right afterwards, and new changes are refused', async () => {
  expect(await addAccountAt(2)).toBe(true);
  await system.platform.setFault({fault: {kind: 'down'}, part: 'table'});
  await expectInForce('store down after the change');
  expect(await addAccountAt(3)).toBe(false);
  await expectInForce('change refused while the store is down');
  await system.platform.setFault({fault: {kind: 'clear'}});
});

it('a change reaches an instance that is disconnected from the store but not from its peers', async () => {
  const instance = system.instances[4]!.id;
  await system.platform.setFault({fault: {kind: 'down'}, instance});
  expect(await addAccountAt(5)).toBe(true);
  await expectInForce('one instance disconnected from the store');
  await system.platform.setFault({fault: {kind: 'clear'}});
});

it('a control program that is paused during a change applies it after it resumes', async () => {
  const {control} = system.instances[6]!;
  control.freeze();
  expect(await addAccountAt(0)).toBe(true);
  control.resume();
  await expectInForce('one control program paused during the change');
});

it('an instance that starts during an outage is not ready with a configuration older than the accepted one', async () => {
  expect(await addAccountAt(0)).toBe(true);
  await system.platform.setFault({fault: {kind: 'down'}, part: 'table'});
  const newInstance = await system.startInstance();
  await system.waitUntil('the new instance responds', async () => {
    return (await operatorClient.sample(newInstance)) !== undefined;
  });
  const acceptedRevision = operatorClient.highestAcceptedRevision;
  const isReadyWithOlderRevision = async (): Promise<boolean> => {
    const isReady = await newInstance.isReady();
    const sample = await operatorClient.sample(newInstance);
    return isReady && (sample?.revision ?? 0) < acceptedRevision;
  };
  const end = performance.now() + 2000;
  while (performance.now() < end) {
    expect(await isReadyWithOlderRevision()).toBe(false);
  }
  await system.platform.setFault({fault: {kind: 'clear'}});
  await system.waitUntilReady([newInstance]);
  await expectInForce('one instance started during an outage');
});
