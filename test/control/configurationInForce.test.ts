import {afterAll, beforeAll, expect, it} from 'vitest';

import {ConfigurationOperation} from '../../src/features/configuration/common/configuration.js';
import {UpstreamMember} from '../../src/infrastructure/membership/common/membershipList.js';
import {InstanceHandle} from '../support/systemHandles.js';
import {LaunchedSystem} from '../support/launcher.js';

/** Accepted changes must reach seven instances of real processes; prints the seconds until the last one has them. */

const INSTANCE_COUNT = 7;
const STATUS_TIMEOUT_MILLISECONDS = 2_000;
const IN_FORCE_TIMEOUT_MILLISECONDS = 30_000;

let system: LaunchedSystem;
let modelCount = 0;

function setModelOperation(): ConfigurationOperation {
  modelCount++;
  const name = `model-${modelCount}`;
  return {
    kind: 'setModel',
    value: {name, version: '1', layerCount: 8, adapters: []},
  };
}

interface ControlStatus {
  readonly revision: number;
  readonly upstreams: readonly UpstreamMember[];
  readonly standing: {readonly kind: string};
}

async function fetchStatus(
  instance: InstanceHandle,
): Promise<ControlStatus | undefined> {
  try {
    const url = `http://${instance.member.controlAddress}/v1/status`;
    const response = await fetch(url, {
      headers: {authorization: `Bearer ${system.operatorKey}`},
      signal: AbortSignal.timeout(STATUS_TIMEOUT_MILLISECONDS),
    });
    return (await response.json()) as ControlStatus;
  } catch {
    return undefined;
  }
}

async function proposeChange(instance: InstanceHandle | undefined): Promise<{
  readonly status: number;
  readonly revision: number;
  readonly sentAt: number;
}> {
  const sentAt = performance.now();
  const url = `http://${instance?.member.controlAddress}/v1/configuration/revisions`;
  const response = await fetch(url, {
    method: 'POST',
    headers: {authorization: `Bearer ${system.operatorKey}`},
    body: JSON.stringify({operations: [setModelOperation()]}),
  });
  const body = (await response.json()) as {revision?: number};
  return {status: response.status, revision: body.revision ?? 0, sentAt};
}

/** Waits until all instances serve this revision or a newer one, and prints the seconds since `begin`. */
async function awaitInForce(
  revision: number,
  what: string,
  begin = performance.now(),
): Promise<void> {
  await Promise.all(
    system.instances.map(instance =>
      system.waitUntil(
        `${instance.id} serves revision ${revision}`,
        async () => {
          const status = await fetchStatus(instance);
          return (
            status?.standing.kind === 'serving' && status.revision >= revision
          );
        },
        IN_FORCE_TIMEOUT_MILLISECONDS,
      ),
    ),
  );
  const seconds = (performance.now() - begin) / 1_000;
  console.log(JSON.stringify({what, secondsToLastInstance: seconds}));
}

function engineMember(id: string, state: 'live' | 'leaving'): UpstreamMember {
  const place = {dataCentre: 'west-1', region: 'west'};
  const address = '127.0.0.1:9';
  return {role: 'engine', id, ...place, address, group: 'replica', state};
}

/** Waits until all instances show an upstream in this state, and prints how long that took. */
async function awaitShownEverywhere({
  id,
  state,
}: UpstreamMember): Promise<void> {
  const begin = performance.now();
  await Promise.all(
    system.instances.map(instance =>
      system.waitUntil(`${instance.id} shows ${id} ${state}`, async () => {
        const upstreams = (await fetchStatus(instance))?.upstreams ?? [];
        return upstreams.some(
          other => other.id === id && other.state === state,
        );
      }),
    ),
  );
  const secondsToLastInstance = (performance.now() - begin) / 1_000;
  console.log(JSON.stringify({what: `member ${state}`, secondsToLastInstance}));
}

beforeAll(async () => {
  system = await LaunchedSystem.launch({
    instances: INSTANCE_COUNT,
    replicas: 0,
    services: [],
  });
  await awaitInForce(0, 'start');
});

afterAll(() => system?.dispose());

it('a change takes effect at all instances', async () => {
  const {status, revision, sentAt} = await proposeChange(system.instances[0]);
  expect(status).toBe(201);
  await awaitInForce(revision, 'all instances reachable', sentAt);
});

it('a change is accepted once when the table response to its write is lost', async () => {
  const responseLost = {
    fault: {kind: 'answerLost'},
    part: 'table',
    access: 'write',
    times: 1,
  } as const;
  await system.platform.setFault(responseLost);
  const {status, revision, sentAt} = await proposeChange(system.instances[1]);
  expect(status).toBe(201);
  await awaitInForce(revision, 'response lost', sentAt);
});

it('concurrent changes of three operators are accepted with distinct revisions or refused', async () => {
  const results = await Promise.all(
    [2, 3, 4].map(index => proposeChange(system.instances[index])),
  );
  const statuses = results.map(result => result.status).sort();
  expect(statuses[0]).toBe(201);
  expect(statuses.every(status => status === 201 || status === 409)).toBe(true);
  const accepted = results.filter(result => result.status === 201);
  const revisions = accepted.map(result => result.revision);
  expect(new Set(revisions).size).toBe(revisions.length);
  await awaitInForce(
    Math.max(...revisions),
    'concurrent operators',
    results[0]?.sentAt,
  );
});

it('a change reaches an instance that is disconnected from the table', async () => {
  const unreachable = {
    fault: {kind: 'down'},
    part: 'table',
    instance: 'instance-6',
  } as const;
  await system.platform.setFault(unreachable);
  const {status, revision, sentAt} = await proposeChange(system.instances[0]);
  expect(status).toBe(201);
  await awaitInForce(
    revision,
    'one instance disconnected from the table',
    sentAt,
  );
  await system.platform.setFault({...unreachable, fault: {kind: 'clear'}});
});

it('a leaving upstream is known everywhere, also where the list can not be read', async () => {
  const unreachable = {part: 'membership', instance: 'instance-6'} as const;
  await system.platform.setFault({...unreachable, fault: {kind: 'down'}});
  for (let round = 0; round < 5; round++) {
    for (const state of ['live', 'leaving'] as const) {
      const upstream = engineMember(`engine-${round}`, state);
      await system.platform.setMembers({set: [upstream]});
      await awaitShownEverywhere(upstream);
    }
  }
  await system.platform.setFault({...unreachable, fault: {kind: 'clear'}});
});

it('during an outage of the table changes are refused, and a new instance serves the old revision', async () => {
  const before = await fetchStatus(system.instances[0] as InstanceHandle);
  await system.platform.setFault({fault: {kind: 'down'}, part: 'table'});
  expect((await proposeChange(system.instances[2])).status).toBe(503);
  await system.startInstance();
  await awaitInForce(before?.revision ?? 0, 'start during an outage');
  await system.platform.setFault({fault: {kind: 'clear'}, part: 'table'});
  const statuses = await Promise.all(system.instances.map(fetchStatus));
  expect(statuses.map(status => status?.revision)).toEqual(
    Array(INSTANCE_COUNT + 1).fill(before?.revision),
  );
  let revision = 0;
  let sentAt = 0;
  await system.waitUntil('a change is accepted again', async () => {
    const result = await proposeChange(system.instances[5]);
    ({revision, sentAt} = result);
    return result.status === 201;
  });
  await awaitInForce(revision, 'after the outage', sentAt);
});
