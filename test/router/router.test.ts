import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {
  API_KEY,
  makeConfiguration,
  RouterInstance,
  StandInSystem,
  waitFor,
} from '../standins/fleet/system.js';
import {sleep} from '../support/sleep.js';
import {eventIdsOf, sendRequest} from './sendRequest.js';

/** Router instances as separate processes, in front of stand-ins that implement the protocols of the platform. */

const EVENT_COUNT = 30;
const WAIT_TIMEOUT_MILLISECONDS = 8_000;

const allEventIds = [...Array(EVENT_COUNT).keys()].map(index => index + 1);

describe('router instances', () => {
  let system: StandInSystem;
  let first: RouterInstance;

  beforeAll(async () => {
    system = await StandInSystem.start(3);
    first = system.instances[0]!;
    // The layers of the engines are listed only after one or two reads by the router.
    await waitFor(
      async () => (await sendRequest(first, '/chat/x')).status === 200,
      WAIT_TIMEOUT_MILLISECONDS,
    );
  });

  afterAll(() => system.stop());

  it('forward requests unchanged except for reserved and hop-by-hop headers', async () => {
    const response = await sendRequest(first, '/book/a%20b?c=d&c=e', {
      method: 'PUT',
      headers: {
        'X-Own-Name': 'Value',
        tenant: 'forged',
        'expect-instance': 'forged',
        connection: 'x-hop',
        'x-hop': '1',
      },
      body: 'body bytes',
    });
    const lastRun = system.plainReplicas
      .flatMap(({executedRequests: runs}) => runs)
      .at(-1)!;
    expect(response).toMatchObject({status: 200, isComplete: true});
    expect(response.headers['route-stamp']).toContain('plain-');
    expect(lastRun).toMatchObject({
      method: 'PUT',
      target: '/book/a%20b?c=d&c=e',
      body: 'body bytes',
    });
    const text = lastRun.headers.join('\n');
    expect(text).toContain('X-Own-Name\nValue');
    expect(text).toContain('Tenant\naccount-1');
    expect(text).not.toContain('forged');
    expect(text.toLowerCase()).not.toContain('authorization');
    expect(text.toLowerCase()).not.toContain('x-hop');
  });

  it.each<{
    name: string;
    path: string;
    headers: Readonly<Record<string, string>>;
    body?: string;
    status: number;
  }>([
    {name: 'an unknown route', path: '/none/', headers: {}, status: 404},
    {
      name: 'an unknown key',
      path: '/look/',
      headers: {authorization: 'Bearer wrong'},
      status: 401,
    },
    {
      name: 'no key on a public route',
      path: '/open/',
      headers: {authorization: ''},
      status: 200,
    },
    {
      name: 'a body that is too long',
      path: '/look/',
      headers: {},
      body: 'x'.repeat(100_001),
      status: 413,
    },
    {
      name: 'a request without streaming',
      path: '/look/',
      headers: {},
      status: 200,
    },
  ])('answer $status to $name', async ({path, headers, body, status}) => {
    const response = await sendRequest(first, path, {headers, body});
    expect(response.status).toBe(status);
  });

  it.each([
    {behaviour: 'fail', path: '/book/', status: 500, runs: 1},
    {behaviour: 'fail', path: '/look/', status: 500, runs: 2},
    {behaviour: 'refuse', path: '/book/', status: 503, runs: 0},
  ] as const)(
    'answer $status when upstreams $behaviour on $path',
    async ({behaviour, path, status, runs}) => {
      const runsBefore = system.plainReplicas.flatMap(
        replica => replica.executedRequests,
      ).length;
      system.plainReplicas.forEach(replica => (replica.behaviour = behaviour));
      const response = await sendRequest(first, path);
      system.plainReplicas.forEach(replica => (replica.behaviour = 'answer'));
      expect(response.status).toBe(status);
      expect(
        system.plainReplicas.flatMap(replica => replica.executedRequests)
          .length - runsBefore,
      ).toBe(runs);
      expect(response.headers['retry-after'] === undefined).toBe(
        status !== 503,
      );
    },
  );

  it('list the instances of the caller’s data centre to callers when there are enough of them', async () => {
    await waitFor(
      async () => (await system.resolve(first, 'north')).length === 2,
      WAIT_TIMEOUT_MILLISECONDS,
    );
    expect([...(await system.resolve(first, 'north'))].sort()).toEqual(
      [
        system.instances[0]!.callerAddress,
        system.instances[2]!.callerAddress,
      ].sort(),
    );
    expect(await system.resolve(first, 'south')).toHaveLength(3);
  });

  it('stream every event once and in order', async () => {
    const responses = await Promise.all(
      [...Array(12).keys()].map(index =>
        sendRequest(system.instances[index % 3]!, '/chat/x'),
      ),
    );
    for (const response of responses) {
      expect(response).toMatchObject({status: 200, isComplete: true});
      expect(eventIdsOf(response)).toEqual(allEventIds);
    }
  });

  it('resume a stream after the last event id of the caller', async () => {
    const response = await sendRequest(first, '/chat/x', {
      headers: {'last-event-id': '20'},
    });
    expect(response).toMatchObject({status: 200, isComplete: true});
    expect(eventIdsOf(response)).toEqual(allEventIds.slice(20));
  });

  it('apply a new configuration and refuse a revoked key', async () => {
    const {Tenants: accounts, ...rest} = makeConfiguration(2);
    system.store.put('op', 'config', {
      ...rest,
      Tenants: [...accounts, {Name: 'account-2', ApiKeys: ['second-key']}],
    });
    const headers = {authorization: 'Bearer second-key'};
    await waitFor(
      async () =>
        (await sendRequest(first, '/look/', {headers})).status === 200,
      WAIT_TIMEOUT_MILLISECONDS,
    );
    system.store.put('op', 'config', makeConfiguration(3));
    await waitFor(
      async () =>
        (await sendRequest(first, '/look/', {headers})).status === 401,
      WAIT_TIMEOUT_MILLISECONDS,
    );
    // An older version that is written again must not be applied.
    system.store.put('op', 'config', {
      ...rest,
      Tenants: [...accounts, {Name: 'account-2', ApiKeys: ['second-key']}],
    });
    await sleep(300);
    expect((await sendRequest(first, '/look/', {headers})).status).toBe(401);
  });

  it('keep the last valid configuration when a new one is malformed', async () => {
    system.store.put('op', 'config', {
      ...makeConfiguration(4),
      Routes: [{Name: 'broken'}],
    });
    await sleep(300);
    expect((await sendRequest(first, '/look/')).status).toBe(200);
    expect(first.process.log()).toContain('Routes.0.Host');
    system.store.put('op', 'config', makeConfiguration(5));
  });

  it('send no new requests to a leaving upstream', async () => {
    const [leaving] = system.plainReplicas;
    leaving!.publishRow('draining');
    await sleep(1_500);
    const runsBefore = leaving!.executedRequests.length;
    for (let index = 0; index < 10; index++) {
      expect((await sendRequest(first, '/book/')).status).toBe(200);
    }
    expect(leaving!.executedRequests.length).toBe(runsBefore);
    leaving!.publishRow('ready');
  });

  it.each(['crash', 'dark'])(
    'continue streams when an engine fails: %s',
    async kind => {
      const requests = [...Array(12).keys()].map(index =>
        sendRequest(system.instances[index % 3]!, '/chat/x'),
      );
      await sleep(120);
      const failedEngine = system.engines.engines.find(
        engine =>
          engine.isRunning &&
          !engine.isUnresponsive &&
          engine.holds({From: 5, To: 6}),
      );
      if (kind === 'crash') {
        failedEngine!.crash();
      } else {
        failedEngine!.isUnresponsive = true;
      }
      for (const response of await Promise.all(requests)) {
        expect(response).toMatchObject({status: 200, isComplete: true});
        expect(eventIdsOf(response)).toEqual(allEventIds);
      }
      system.store.remove('servers', failedEngine!.id);
    },
  );

  it('treat an engine that restarts under the same name as empty', async () => {
    const requests = [...Array(12).keys()].map(index =>
      sendRequest(system.instances[index % 3]!, '/chat/x'),
    );
    await sleep(120);
    const failedEngine = system.engines.engines.find(
      engine =>
        engine.isRunning &&
        !engine.isUnresponsive &&
        engine.holds({From: 5, To: 6}),
    )!;
    const restarted = await failedEngine.restart();
    for (const response of await Promise.all(requests)) {
      expect(response).toMatchObject({status: 200, isComplete: true});
      expect(eventIdsOf(response)).toEqual(allEventIds);
    }
    // The restarted engine is assigned layers and serves again.
    await waitFor(
      () =>
        restarted.holds({
          From: restarted.firstLayer,
          To: restarted.firstLayer + 1,
        }),
      WAIT_TIMEOUT_MILLISECONDS,
    );
  });

  it('shut down without interrupting a request', async () => {
    const stopping = system.instances[2]!;
    const requests = [...Array(6).keys()].map(() =>
      sendRequest(stopping, '/chat/x'),
    );
    await sleep(100);
    const exitCode = stopping.process.terminate();
    for (const response of await Promise.all(requests)) {
      expect(response).toMatchObject({status: 200, isComplete: true});
      expect(eventIdsOf(response)).toEqual(allEventIds);
    }
    expect(await exitCode).toBe(0);
    await waitFor(
      async () =>
        !(await system.resolve(first, 'north')).includes(
          stopping.callerAddress,
        ),
      WAIT_TIMEOUT_MILLISECONDS,
    );
    await waitFor(() => !stopping.process.isRunning, WAIT_TIMEOUT_MILLISECONDS);
    expect(system.store.keys('redwing')).not.toContain('instances/instance-3');
  });

  it('refuse keys when the store is unavailable beyond the limit, and accept them again after it recovers', async () => {
    system.store.fault = 'silent';
    await waitFor(
      async () => (await sendRequest(first, '/look/')).status === 503,
      WAIT_TIMEOUT_MILLISECONDS,
    );
    const refused = await sendRequest(first, '/look/');
    expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0);
    expect(await system.isReady(first)).toBe(false);
    expect((await sendRequest(first, '/open/')).status).toBe(200);
    system.store.fault = 'none';
    await waitFor(
      async () => (await sendRequest(first, '/look/')).status === 200,
      WAIT_TIMEOUT_MILLISECONDS,
    );
  });

  it('apply changes after the store has discarded its change history', async () => {
    system.store.discardHistory();
    system.store.put(
      'op',
      'config',
      makeConfiguration(9, {
        Tenants: [{Name: 'account-9', ApiKeys: [API_KEY, 'ninth']}],
      }),
    );
    const headers = {authorization: 'Bearer ninth'};
    await waitFor(
      async () =>
        (await sendRequest(first, '/look/', {headers})).status === 200,
      WAIT_TIMEOUT_MILLISECONDS,
    );
  });
});
