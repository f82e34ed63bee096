import {describe, expect, it, vi} from 'vitest';

import {FakeClock} from '../../../../test/support/fakeClock.js';
import {FakeEventLoop} from '../../../../test/support/fakeEventLoop.js';
import {ArrivalQueue} from '../common/arrivalQueue.js';
import {ResponseListener, UpstreamRequest} from '../common/upstreamExchange.js';
import {LateSendConnector} from '../node/lateSendConnector.js';
import {FakeConnector} from './fakeUpstreams.js';
import {createHarness, plainUpstreams} from './forwardingSetup.js';

/** Requests that an event loop has read late. */

const LATE_MILLISECONDS = 700;
const ON_TIME_MILLISECONDS = 100;
const UPSTREAM_ROUTES = ['/safe/x', '/unsafe/x', '/stream/x', '/once/x'];

describe('a request that was read by a late event loop', () => {
  it.each(UPSTREAM_ROUTES)(
    'is not sent on to %s when its caller has left',
    async target => {
      const harness = createHarness();
      harness.eventLoop.latenessMilliseconds = LATE_MILLISECONDS;
      const caller = await harness.send(target);
      caller.leave();
      harness.eventLoop.read();
      await harness.flushPromises();
      expect(harness.connector.openedExchanges).toEqual([]);
    },
  );

  it.each([
    {
      name: 'the longest wait from the deadline of the upstream alone',
      limit: 1_000,
      sent: 300,
    },
    {name: 'nothing when the loop is on time', limit: 1_000, sent: 1_000},
  ])('takes $name', async ({limit, sent}) => {
    const harness = createHarness();
    harness.eventLoop.latenessMilliseconds =
      sent === limit ? ON_TIME_MILLISECONDS : LATE_MILLISECONDS;
    const caller = await harness.send('/unsafe/x', ['deadline', String(limit)]);
    harness.eventLoop.read();
    await harness.flushPromises();
    const [exchange] = harness.connector.openedExchanges;
    const {headers} = exchange!.request;
    const added = headers[headers.indexOf('added') + 1] ?? '';
    expect(JSON.parse(added)).toMatchObject({deadlineMilliseconds: sent});
    await harness.advance(limit - 1);
    expect(caller.outcome).toBe('open');
  });

  it('is refused at once, as not run, when its deadline may have passed', async () => {
    const harness = createHarness();
    harness.eventLoop.latenessMilliseconds = LATE_MILLISECONDS;
    const caller = await harness.send('/unsafe/x', [
      'deadline',
      String(LATE_MILLISECONDS),
    ]);
    harness.eventLoop.read();
    await harness.flushPromises();
    expect(caller.outcome).toBe('notRun');
    expect(harness.connector.openedExchanges).toEqual([]);
  });
});

describe('a request that is sent while the event loop is late', () => {
  it.each([
    {name: 'is not sent when its caller has left', hasLeft: true, sent: 0},
    {name: 'is sent after the loop has read', hasLeft: false, sent: 1},
  ])('$name', async ({hasLeft, sent}) => {
    const clock = new FakeClock();
    const eventLoop = new FakeEventLoop(clock);
    const inner = new FakeConnector();
    const connector = new LateSendConnector(inner, clock, eventLoop);
    eventLoop.latenessMilliseconds = LATE_MILLISECONDS;
    const exchange = connector.open(
      plainUpstreams[0]!,
      {} as UpstreamRequest,
      {} as ResponseListener,
    );
    expect(inner.openedExchanges).toHaveLength(0);
    if (hasLeft) {
      exchange.dispose();
    }
    eventLoop.read();
    await new Promise(resolve => setImmediate(resolve));
    expect(inner.openedExchanges).toHaveLength(sent);
  });
});

describe('a request that waits for its turn when the instance stops', () => {
  it('is refused once, as not run', async () => {
    const harness = createHarness();
    const decisions = vi.spyOn(harness.services.logger, 'decision');
    harness.eventLoop.latenessMilliseconds = LATE_MILLISECONDS;
    const caller = await harness.send('/unsafe/x');
    harness.handler.endAll();
    harness.eventLoop.read();
    await harness.flushPromises();
    expect(caller.outcome).toBe('notRun');
    expect(decisions.mock.calls.map(([kind]) => kind)).toEqual([
      'requestRefused',
    ]);
  });
});

describe('the turn of requests that may have waited', () => {
  it("is the newest one's first, one by one", async () => {
    const clock = new FakeClock();
    const eventLoop = new FakeEventLoop(clock);
    const queue = new ArrivalQueue(eventLoop);
    const order: number[] = [];
    for (const request of [1, 2, 3]) {
      void queue.turn(true, () => false)?.then(() => order.push(request));
    }
    const orders: number[][] = [];
    for (let round = 0; round < 3; round++) {
      eventLoop.read();
      await new Promise(resolve => setImmediate(resolve));
      orders.push([...order]);
    }
    expect(orders).toEqual([[3], [3, 2], [3, 2, 1]]);
  });
});

describe('a request that waits for its turn', () => {
  it('does not wait for the turns of requests whose callers have left', async () => {
    const clock = new FakeClock();
    const eventLoop = new FakeEventLoop(clock);
    const queue = new ArrivalQueue(eventLoop);
    const order: string[] = [];
    for (const caller of ['waits', 'left 1', 'left 2']) {
      const hasLeft = caller !== 'waits';
      void queue.turn(true, () => hasLeft)?.then(() => order.push(caller));
    }
    eventLoop.read();
    await new Promise(resolve => setImmediate(resolve));
    expect(order).toEqual(['left 2', 'left 1', 'waits']);
  });
});

describe('a request whose timer runs a part of a millisecond early', () => {
  const LIMIT_MILLISECONDS = 500;
  const EARLY_MILLISECONDS = 0.5;

  it('does not end before its deadline', async () => {
    const harness = createHarness();
    const {clock} = harness;
    const setTimer = clock.setTimer.bind(clock);
    vi.spyOn(clock, 'setTimer').mockImplementation((milliseconds, callback) =>
      setTimer(milliseconds - EARLY_MILLISECONDS, callback),
    );
    const caller = await harness.send('/unsafe/x', [
      'deadline',
      String(LIMIT_MILLISECONDS),
    ]);
    await harness.advance(LIMIT_MILLISECONDS - EARLY_MILLISECONDS);
    expect(caller.outcome).toBe('open');
    await harness.advance(1);
    expect(caller.outcome).toBe('router 504');
  });
});
