import {once} from 'node:events';
import {connect} from 'node:net';

import {afterEach, beforeEach, describe, expect, test} from 'vitest';

import {success} from '../../../base/common/result.js';
import {
  CallerFixture,
  chatBody,
  chatPath,
  configuration,
  CountingClock,
  replyOf,
} from './callerFakes.js';
import {query, order} from './callerServerSetup.js';

let fixture: CallerFixture;

beforeEach(async () => {
  fixture = await new CallerFixture().start();
});

afterEach(() => fixture.server.close());

/** Starts as many requests as may be in progress; the returned function aborts them. */
async function occupyAllSlots(): Promise<() => Promise<unknown>> {
  fixture.driver.script = () => new Promise(() => undefined);
  const caller = new AbortController();
  const held = [1, 2].map(() =>
    fixture.send(chatPath, query, chatBody(), caller.signal),
  );
  await expect.poll(() => fixture.driver.requests.length).toBe(2);
  return () => {
    caller.abort();
    return Promise.allSettled(held);
  };
}

describe('services', () => {
  test.each([
    ['/levels/7?site=2', query, 200],
    ['/confirm', query, 400],
    ['/levels/reserve', query, 400],
    ['/confirm', {...query, 'Idempotency-Key': 'k'}, 200],
    ['/levels/%2e%2e/confirm', query, 400],
    ['/levels%2f..%2fconfirm', query, 400],
  ])('GET %s with headers %j has status %i', async (path, headers, status) => {
    const response = await fixture.send(`/v1/services/stock${path}`, headers);
    expect(response.status).toBe(status);
    const passed = fixture.dispatcher.requests.map(request => request.path);
    expect(passed).toEqual(status === 200 ? [path] : []);
  });

  test('a call to an unknown service is refused', async () => {
    const response = await fixture.send('/v1/services/none/x', query);
    expect(response.status).toBe(404);
  });
});

describe('instance state', () => {
  test('entrypoints return the ready instances, a cache lifetime and a grant', async () => {
    const response = await fixture.send('/v1/entrypoints');
    const body: any = await response.json();
    expect(body.addresses.toSorted()).toEqual(['a:80', 'b:80']);
    expect(body).toMatchObject({
      keepSeconds: 30,
      grant: 'grant-a-1',
      grantAddress: 'a:80',
    });
  });

  test('entrypoints include this instance as soon as it accepts work, before the view says so', async () => {
    const view = fixture.views.current!;
    const instances = view.instances.map(instance => ({
      ...instance,
      ready: false,
    }));
    fixture.views.current = {...view, instances};
    const response = await fixture.send('/v1/entrypoints');
    expect(await response.json()).toMatchObject({addresses: ['a:80']});
  });

  test.each([
    ['without a view', () => (fixture.views.current = undefined)],
    [
      'without a recent response of the control program',
      () => (fixture.views.lastResponseAt = -40_000),
    ],
    [
      'without a confirmed configuration',
      () => {
        const view = fixture.views.current!;
        fixture.views.current = {
          ...view,
          configuration: {...configuration, revision: 0},
        };
      },
    ],
  ])('%s, new work is refused', async (_name, change) => {
    change();
    const response = await fixture.send(chatPath, query, chatBody());
    expect(response.status).toBe(503);
    expect(await response.json()).toMatchObject({
      error: {kind: 'cutOff', executed: 'no'},
    });
    expect((await fixture.send('/v1/health')).status).toBe(503);
  });

  test('a shutdown refuses new work with other addresses and completes requests in progress', async () => {
    let finish = () => undefined as void;
    const begun = new Promise<void>(resolve => {
      fixture.driver.script = (request, sink) =>
        new Promise(settle => {
          finish = () => {
            void sink('whole', 0);
            settle(success(replyOf(request, ['whole'])));
          };
          resolve();
        });
    });
    const running = fixture.send(chatPath, order, chatBody(true));
    await begun;
    const drained = fixture.server.drain(60_000);
    const refused = await fixture.send(chatPath, query, chatBody());
    expect(refused.status).toBe(503);
    expect(refused.headers.get('connection')).toBe('close');
    expect(await refused.json()).toMatchObject({
      error: {kind: 'shuttingDown', executed: 'no', addresses: ['b:80']},
    });
    const entrypoints = await fixture.send('/v1/entrypoints');
    expect(await entrypoints.json()).toMatchObject({
      addresses: ['b:80'],
      grant: null,
    });
    finish();
    expect(await (await running).text()).toContain('data: [DONE]');
    expect(await drained).toBe(0);
  });

  test('a request sent on a kept-alive connection during a shutdown gets a response', async () => {
    const socket = connect(fixture.port, '127.0.0.1');
    const texts: string[] = [];
    socket.setEncoding('utf8').on('data', text => texts.push(String(text)));
    const requestHealth = () =>
      socket.write('GET /v1/health HTTP/1.1\r\nHost: callers\r\n\r\n');
    requestHealth();
    await expect.poll(() => texts.join('')).toContain('"serving":true');
    const drained = fixture.server.drain(60_000);
    requestHealth();
    await once(socket, 'close');
    expect(texts.join('')).toContain('"leaving":true');
    expect(await drained).toBe(0);
  });

  test('a shutdown with no request in progress leaves no timer that would keep the process alive', async () => {
    const clock = new CountingClock();
    const idle = await new CallerFixture(clock).start();
    await idle.send(chatPath, order, chatBody());
    expect(await idle.server.drain(60_000)).toBe(0);
    expect(clock.waiting.size).toBe(0);
  });

  test.each([
    {headers: query, provenNotRun: false, executed: 'no'},
    {headers: order, provenNotRun: false, executed: 'unknown'},
    {headers: order, provenNotRun: true, executed: 'no'},
  ])(
    'a refusal before the claim reports executed: $executed',
    async ({headers, provenNotRun, executed}) => {
      fixture.claims.provenNotRun = provenNotRun;
      const releaseSlots = await occupyAllSlots();
      const responses = [await fixture.send(chatPath, headers, chatBody())];
      const serving = fixture.views.current!;
      fixture.views.current = {
        ...serving,
        standing: {kind: 'cutOff', sinceMilliseconds: 0},
      };
      responses.push(await fixture.send(chatPath, headers, chatBody()));
      fixture.views.current = {...serving, standing: {kind: 'leaving'}};
      responses.push(await fixture.send(chatPath, headers, chatBody()));
      const bodies = await Promise.all(
        responses.map(response => response.json()),
      );
      expect(bodies).toMatchObject(
        ['cannotMeetTarget', 'cutOff', 'shuttingDown'].map(kind => ({
          error: {kind, executed},
        })),
      );
      await releaseSlots();
    },
  );

  test('requests over the limit of concurrent requests are refused', async () => {
    const releaseSlots = await occupyAllSlots();
    const response = await fixture.send(chatPath, query, chatBody());
    expect(response.status).toBe(503);
    await releaseSlots();
  });
});
