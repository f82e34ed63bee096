import {afterAll, beforeAll, expect, it} from 'vitest';

import {ConfigurationOperation} from '../../src/features/configuration/common/configuration.js';
import {UpstreamMember} from '../../src/infrastructure/membership/common/membershipList.js';
import {InstanceHandle} from '../support/systemParts.js';
import {LaunchedSystem} from '../support/launcher.js';

/** Accepted changes at seven instances of real processes; the seconds to the last one are printed. */

const INSTANCES = 7;
const HEADERS_LIMIT_MILLISECONDS = 2_000;
const IN_FORCE_LIMIT_MILLISECONDS = 30_000;

let system: LaunchedSystem;
let changes = 0;

function setModel(): ConfigurationOperation {
  changes++;
  const name = `model-${changes}`;
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

async function statusOf(
  instance: InstanceHandle,
): Promise<ControlStatus | undefined> {
  try {
    const url = `http://${instance.member.controlAddress}/v1/status`;
    const answer = await fetch(url, {
      headers: {authorization: `Bearer ${system.operatorKey}`},
      signal: AbortSignal.timeout(HEADERS_LIMIT_MILLISECONDS),
    });
    return (await answer.json()) as ControlStatus;
  } catch {
    return undefined;
  }
}

async function propose(instance: InstanceHandle | undefined): Promise<{
  readonly status: number;
  readonly revision: number;
  readonly sentAt: number;
}> {
  const sentAt = performance.now();
  const url = `http://${instance?.member.controlAddress}/v1/configuration/revisions`;
  const answer = await fetch(url, {
    method: 'POST',
    headers: {authorization: `Bearer ${system.operatorKey}`},
    body: JSON.stringify({operations: [setModel()]}),
  });
  const body = (await answer.json()) as {revision?: number};
  return {status: answer.status, revision: body.revision ?? 0, sentAt};
}

/** Waits until all serve a revision or a newer one, and prints how long that took since the proposal was sent. */
async function inForce(
  revision: number,
  what: string,
  begin = performance.now(),
): Promise<void> {
  await Promise.all(
    system.instances.map(instance =>
      system.until(
        `${instance.id} serves revision ${revision}`,
        async () => {
          const status = await statusOf(instance);
          return (
            status?.standing.kind === 'serving' && status.revision >= revision
          );
        },
        IN_FORCE_LIMIT_MILLISECONDS,
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

/** Waits until all show an upstream in its state, and prints how long that took. */
async function shownEverywhere({id, state}: UpstreamMember): Promise<void> {
  const begin = performance.now();
  await Promise.all(
    system.instances.map(instance =>
      system.until(`${instance.id} shows ${id} ${state}`, async () => {
        const upstreams = (await statusOf(instance))?.upstreams ?? [];
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
    instances: INSTANCES,
    replicas: 0,
    services: [],
  });
  await inForce(0, 'start');
});

afterAll(() => system?.dispose());

it('a change is in force everywhere', async () => {
  const {status, revision, sentAt} = await propose(system.instances[0]);
  expect(status).toBe(201);
  await inForce(revision, 'all in reach', sentAt);
});

it('a change whose answer was lost is accepted once', async () => {
  const lost = {
    fault: {kind: 'answerLost'},
    part: 'table',
    access: 'write',
    times: 1,
  } as const;
  await system.platform.setFault(lost);
  const {status, revision, sentAt} = await propose(system.instances[1]);
  expect(status).toBe(201);
  await inForce(revision, 'answer lost', sentAt);
});

it('one of three racing operators wins', async () => {
  const results = await Promise.all(
    [2, 3, 4].map(index => propose(system.instances[index])),
  );
  const statuses = results.map(result => result.status).sort();
  expect(statuses[0]).toBe(201);
  expect(statuses.every(status => status === 201 || status === 409)).toBe(true);
  const accepted = results.filter(result => result.status === 201);
  const numbers = accepted.map(result => result.revision);
  expect(new Set(numbers).size).toBe(numbers.length);
  await inForce(Math.max(...numbers), 'racing operators', results[0]?.sentAt);
});

it('a change reaches an instance that is cut off from the table', async () => {
  const cut = {
    fault: {kind: 'down'},
    part: 'table',
    instance: 'instance-6',
  } as const;
  await system.platform.setFault(cut);
  const {status, revision, sentAt} = await propose(system.instances[0]);
  expect(status).toBe(201);
  await inForce(revision, 'one cut off from the table', sentAt);
  await system.platform.setFault({...cut, fault: {kind: 'clear'}});
});

it('a leaving upstream is known everywhere, also where the list can not be read', async () => {
  const cut = {part: 'membership', instance: 'instance-6'} as const;
  await system.platform.setFault({...cut, fault: {kind: 'down'}});
  for (let round = 0; round < 5; round++) {
    for (const state of ['live', 'leaving'] as const) {
      const upstream = engineMember(`engine-${round}`, state);
      await system.platform.setMembers({set: [upstream]});
      await shownEverywhere(upstream);
    }
  }
  await system.platform.setFault({...cut, fault: {kind: 'clear'}});
});

it('an outage of the table refuses changes, and a new instance serves the old revision', async () => {
  const before = await statusOf(system.instances[0] as InstanceHandle);
  await system.platform.setFault({fault: {kind: 'down'}, part: 'table'});
  expect((await propose(system.instances[2])).status).toBe(503);
  await system.startInstance();
  await inForce(before?.revision ?? 0, 'start during an outage');
  await system.platform.setFault({fault: {kind: 'clear'}, part: 'table'});
  const statuses = await Promise.all(system.instances.map(statusOf));
  expect(statuses.map(status => status?.revision)).toEqual(
    Array(INSTANCES + 1).fill(before?.revision),
  );
  let revision = 0;
  let sentAt = 0;
  await system.until('a change is accepted again', async () => {
    const result = await propose(system.instances[5]);
    ({revision, sentAt} = result);
    return result.status === 201;
  });
  await inForce(revision, 'after the outage', sentAt);
});
