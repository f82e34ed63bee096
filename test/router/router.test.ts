import {request} from 'node:http';

import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {
  KEY,
  makeManifest,
  RouterInstance,
  StandInSystem,
  waitFor,
} from '../standins/fleet/system.js';
import {sleep} from '../support/sleep.js';

/** The router on the users' platform: separate processes before stand-ins that speak its protocol. */

const EVENTS = 30;
const STEP_MILLISECONDS = 8_000;

interface Answer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** Whether the answer was framed as complete. */
  readonly isWhole: boolean;
  readonly longestPause: number;
}

interface Call {
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

let count = 0;

function call(
  instance: RouterInstance,
  path: string,
  {method = 'POST', headers = {}, body = ''}: Call = {},
): Promise<Answer> {
  const [host, port] = instance.callers.split(':');
  return new Promise((resolve, reject) => {
    const sent = request(
      {
        host,
        port,
        path,
        method,
        agent: false,
        headers: {
          host: 'host.example',
          'request-id': `request-${++count}`,
          'deadline-ms': '8000',
          'token-count': '100,60',
          authorization: `Bearer ${KEY}`,
          ...headers,
        },
      },
      response => {
        let text = '';
        let last = 0;
        let longestPause = 0;
        response.on('data', (chunk: Buffer) => {
          const now = performance.now();
          longestPause = last === 0 ? 0 : Math.max(longestPause, now - last);
          last = now;
          text += chunk.toString();
        });
        response.on('close', () =>
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: text,
            isWhole: response.complete,
            longestPause,
          }),
        );
      },
    );
    sent.on('error', reject);
    sent.end(body);
  });
}

function idsOf({body}: Answer): readonly number[] {
  return [...body.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
}

const allIds = [...Array(EVENTS).keys()].map(index => index + 1);

describe('router instances', () => {
  let system: StandInSystem;
  let first: RouterInstance;

  beforeAll(async () => {
    system = await StandInSystem.start(3);
    first = system.instances[0]!;
    // Layers are listed within a reading or two.
    await waitFor(
      async () => (await call(first, '/chat/x')).status === 200,
      STEP_MILLISECONDS,
    );
  });

  afterAll(() => system.stop());

  it('forward method, path, query, headers and body as they came', async () => {
    const answer = await call(first, '/book/a%20b?c=d&c=e', {
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
    const run = system.plain.flatMap(({runs}) => runs).at(-1)!;
    expect(answer).toMatchObject({status: 200, isWhole: true});
    expect(answer.headers['route-stamp']).toContain('plain-');
    expect(run).toMatchObject({
      method: 'PUT',
      target: '/book/a%20b?c=d&c=e',
      body: 'body bytes',
    });
    const text = run.headers.join('\n');
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
    {name: 'a unary call', path: '/look/', headers: {}, status: 200},
  ])('answer $status to $name', async ({path, headers, body, status}) => {
    const answer = await call(first, path, {headers, body});
    expect(answer.status).toBe(status);
  });

  it.each([
    {behaviour: 'fail', path: '/book/', status: 500, runs: 1},
    {behaviour: 'fail', path: '/look/', status: 500, runs: 2},
    {behaviour: 'refuse', path: '/book/', status: 503, runs: 0},
  ] as const)(
    'answer $status when upstreams $behaviour on $path',
    async ({behaviour, path, status, runs}) => {
      const before = system.plain.flatMap(replica => replica.runs).length;
      system.plain.forEach(replica => (replica.behaviour = behaviour));
      const answer = await call(first, path);
      system.plain.forEach(replica => (replica.behaviour = 'answer'));
      expect(answer.status).toBe(status);
      expect(
        system.plain.flatMap(replica => replica.runs).length - before,
      ).toBe(runs);
      expect(answer.headers['retry-after'] === undefined).toBe(status !== 503);
    },
  );

  it('name each other to callers, those of the caller’s data centre where there are enough', async () => {
    await waitFor(
      async () => (await system.resolve(first, 'north')).length === 2,
      STEP_MILLISECONDS,
    );
    expect([...(await system.resolve(first, 'north'))].sort()).toEqual(
      [system.instances[0]!.callers, system.instances[2]!.callers].sort(),
    );
    expect(await system.resolve(first, 'south')).toHaveLength(3);
  });

  it('stream every event once and in order', async () => {
    const answers = await Promise.all(
      [...Array(12).keys()].map(index =>
        call(system.instances[index % 3]!, '/chat/x'),
      ),
    );
    for (const answer of answers) {
      expect(answer).toMatchObject({status: 200, isWhole: true});
      expect(idsOf(answer)).toEqual(allIds);
    }
  });

  it('go on behind the event that a caller names', async () => {
    const answer = await call(first, '/chat/x', {
      headers: {'last-event-id': '20'},
    });
    expect(answer).toMatchObject({status: 200, isWhole: true});
    expect(idsOf(answer)).toEqual(allIds.slice(20));
  });

  it('put a new configuration in force and refuse a revoked key', async () => {
    const {Tenants: accounts, ...rest} = makeManifest(2);
    system.store.put('op', 'config', {
      ...rest,
      Tenants: [...accounts, {Name: 'account-2', ApiKeys: ['second-key']}],
    });
    const headers = {authorization: 'Bearer second-key'};
    await waitFor(
      async () => (await call(first, '/look/', {headers})).status === 200,
      STEP_MILLISECONDS,
    );
    system.store.put('op', 'config', makeManifest(3));
    await waitFor(
      async () => (await call(first, '/look/', {headers})).status === 401,
      STEP_MILLISECONDS,
    );
    // An older version that turns up again changes nothing.
    system.store.put('op', 'config', {
      ...rest,
      Tenants: [...accounts, {Name: 'account-2', ApiKeys: ['second-key']}],
    });
    await sleep(300);
    expect((await call(first, '/look/', {headers})).status).toBe(401);
  });

  it('keep the last good configuration when one is malformed', async () => {
    system.store.put('op', 'config', {
      ...makeManifest(4),
      Routes: [{Name: 'broken'}],
    });
    await sleep(300);
    expect((await call(first, '/look/')).status).toBe(200);
    expect(first.process.log()).toContain('Routes.0.Host');
    system.store.put('op', 'config', makeManifest(5));
  });

  it('send nothing new to a leaving upstream', async () => {
    const [leaving] = system.plain;
    leaving!.list('draining');
    await sleep(1_500);
    const before = leaving!.runs.length;
    for (let index = 0; index < 10; index++) {
      expect((await call(first, '/book/')).status).toBe(200);
    }
    expect(leaving!.runs.length).toBe(before);
    leaving!.list('ready');
  });

  it.each(['crash', 'dark'])(
    'carry streams on when an engine is lost: %s',
    async kind => {
      const calls = [...Array(12).keys()].map(index =>
        call(system.instances[index % 3]!, '/chat/x'),
      );
      await sleep(120);
      const lost = system.engines.engines.find(
        engine =>
          engine.isRunning && !engine.isDark && engine.holds({From: 5, To: 6}),
      );
      if (kind === 'crash') {
        lost!.crash();
      } else {
        lost!.isDark = true;
      }
      for (const answer of await Promise.all(calls)) {
        expect(answer).toMatchObject({status: 200, isWhole: true});
        expect(idsOf(answer)).toEqual(allIds);
      }
      system.store.remove('servers', lost!.id);
    },
  );

  it('take an engine that starts again under its name for an empty one', async () => {
    const calls = [...Array(12).keys()].map(index =>
      call(system.instances[index % 3]!, '/chat/x'),
    );
    await sleep(120);
    const lost = system.engines.engines.find(
      engine =>
        engine.isRunning && !engine.isDark && engine.holds({From: 5, To: 6}),
    )!;
    const again = await lost.restart();
    for (const answer of await Promise.all(calls)) {
      expect(answer).toMatchObject({status: 200, isWhole: true});
      expect(idsOf(answer)).toEqual(allIds);
    }
    // It is given layers anew, and serves.
    await waitFor(
      () => again.holds({From: again.firstLayer, To: again.firstLayer + 1}),
      STEP_MILLISECONDS,
    );
  });

  it('stop without breaking off a request', async () => {
    const stopped = system.instances[2]!;
    const calls = [...Array(6).keys()].map(() => call(stopped, '/chat/x'));
    await sleep(100);
    const ended = stopped.process.terminate();
    for (const answer of await Promise.all(calls)) {
      expect(answer).toMatchObject({status: 200, isWhole: true});
      expect(idsOf(answer)).toEqual(allIds);
    }
    expect(await ended).toBe(0);
    await waitFor(
      async () =>
        !(await system.resolve(first, 'north')).includes(stopped.callers),
      STEP_MILLISECONDS,
    );
    await waitFor(() => !stopped.process.isRunning, STEP_MILLISECONDS);
    expect(system.store.keys('redwing')).not.toContain('instances/instance-3');
  });

  it('refuse keys once the store has been away for the bound, and serve again when it is back', async () => {
    system.store.fault = 'silent';
    await waitFor(
      async () => (await call(first, '/look/')).status === 503,
      STEP_MILLISECONDS,
    );
    const refused = await call(first, '/look/');
    expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0);
    expect(await system.isReady(first)).toBe(false);
    expect((await call(first, '/open/')).status).toBe(200);
    system.store.fault = 'none';
    await waitFor(
      async () => (await call(first, '/look/')).status === 200,
      STEP_MILLISECONDS,
    );
  });

  it('follow on after the history of changes was discarded', async () => {
    system.store.forgetHistory();
    system.store.put(
      'op',
      'config',
      makeManifest(9, {
        Tenants: [{Name: 'account-9', ApiKeys: [KEY, 'ninth']}],
      }),
    );
    const headers = {authorization: 'Bearer ninth'};
    await waitFor(
      async () => (await call(first, '/look/', {headers})).status === 200,
      STEP_MILLISECONDS,
    );
  });
});
