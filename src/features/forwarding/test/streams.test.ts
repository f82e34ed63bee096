import {describe, expect, it} from 'vitest';

import {makeUpstream} from '../../fleet/test/upstreams.js';
import {eventText} from './fakeUpstreams.js';
import {ForwardingHarness} from './forwardingHarness.js';
import {
  configuration,
  createHarness,
  engines,
  LAYERS,
  plainUpstreams,
} from './forwardingSetup.js';

/** Streams along paths of upstreams. */

describe('a stream', () => {
  it('forwards complete events as they arrive and ends with the response of its upstream', async () => {
    const harness = createHarness();
    const caller = await harness.send('/stream/');
    const {last} = harness.connector;
    last.head();
    last.sendEvents(1, 2);
    last.body('id: 3\nda');
    expect(caller.text).toBe('id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n');
    last.body('ta: 3\n\n');
    last.end();
    expect(caller.outcome).toBe('stream');
    expect(caller.text.endsWith('data: 3\n\n')).toBe(true);
  });

  it('continues on another upstream after the last complete event', async () => {
    const harness = createHarness();
    const caller = await harness.send('/stream/');
    const first = harness.connector.last;
    first.head();
    first.sendEvents(1, 3);
    first.body('id: 4\nda');
    first.fail(true);
    await harness.flushPromises();
    const second = harness.connector.last;
    expect(second).not.toBe(first);
    expect(second.added).toMatchObject({lastEvent: 3});
    second.head();
    second.sendEvents(4, 5);
    second.end();
    expect(caller.outcome).toBe('stream');
    expect(caller.text.match(/id: \d/g)).toEqual([
      'id: 1',
      'id: 2',
      'id: 3',
      'id: 4',
      'id: 5',
    ]);
  });

  it.each([
    {name: 'ends in the middle of an event', tail: 'id: 4\nda'},
    {name: 'skips an event', tail: 'id: 6\ndata: 6\n\n'},
  ])('is aborted when it $name', async ({tail}) => {
    const harness = createHarness();
    const caller = await harness.send('/once/');
    const {last} = harness.connector;
    last.head();
    last.sendEvents(1, 3);
    last.body(tail);
    last.end();
    await harness.flushPromises();
    expect(caller.outcome).toBe('aborted');
  });

  it('is not sent on after three upstreams have ended under it', async () => {
    const engines = [...Array(12).keys()].map(index =>
      makeUpstream({
        id: `engine-${index}`,
        service: 'model',
        address: `10.0.3.${index + 1}:1`,
        acceleratorKind: 'small',
        layers: {from: 0, to: LAYERS},
      }),
    );
    const harness = new ForwardingHarness(configuration, engines);
    const caller = await harness.send('/stream/');
    for (let round = 0; round < 20 && caller.outcome === 'open'; round++) {
      const {last} = harness.connector;
      if (!last.hasResponded) {
        harness.control.unreachableIds.add(last.upstream.id);
        harness.connections.refusing.add(last.upstream.address);
        last.fail(true);
      }
      await harness.advance(100);
      const {unreachableIds} = harness.control;
      harness.directory.replace(
        engines.filter(({id}) => !unreachableIds.has(id)),
      );
    }
    const sentTo = harness.connector.openedExchanges.map(
      ({upstream}) => upstream.id,
    );
    expect(new Set(sentTo).size).toBe(3);
    expect(caller.outcome).toBe('router 502');
  });

  // Guards against a gap: sound events that arrive together with a spoiled one were dropped, but counted as delivered.
  it.each([
    {target: '/stream/', outcome: 'stream'},
    {target: '/once/', outcome: 'aborted'},
  ])(
    'of $target delivers the sound events that arrive in one read with a spoiled one',
    async ({target, outcome}) => {
      const harness = createHarness();
      const caller = await harness.send(target);
      const exchange = harness.connector.last;
      exchange.head();
      exchange.body(eventText(1));
      exchange.body(
        eventText(2) + eventText(3) + eventText(4).replace('id: ', 'iq? '),
      );
      await harness.advance(100);
      const next = harness.connector.last;
      if (next !== exchange) {
        expect(next.added).toMatchObject({lastEvent: 3});
        next.head();
        next.sendEvents(4, 5);
        next.end();
      }
      expect(caller.outcome).toBe(outcome);
      const ids = outcome === 'stream' ? [1, 2, 3, 4, 5] : [1, 2, 3];
      expect(caller.text).toBe(ids.map(eventText).join(''));
    },
  );

  it('that is not resumable is not sent again once it may have been executed', async () => {
    const harness = createHarness();
    const caller = await harness.send('/once/');
    harness.connector.last.fail(true);
    await harness.flushPromises();
    expect(harness.connector.openedExchanges).toHaveLength(1);
    expect(caller.outcome).toBe('router 502');
  });

  it('moves to another path in its data centre when a later upstream is lost', async () => {
    const harness = createHarness();
    const caller = await harness.send('/stream/');
    const exchange = harness.connector.last;
    const [first, second] = exchange.added['hops'] as readonly string[];
    exchange.head();
    exchange.sendEvents(1, 2);
    if (first !== 'a1') {
      return;
    }
    harness.suspicions.suspect(second!, 'silent', {});
    await harness.flushPromises();
    expect(harness.control.requestedPaths).toEqual([
      second === 'b1' ? 'a1,c1' : 'a1,b1',
    ]);
    exchange.sendEvents(3, 4);
    exchange.end();
    expect(caller.outcome).toBe('stream');
    expect(harness.connector.openedExchanges).toHaveLength(1);
  });

  it('restarts on another path when its first upstream is lost', async () => {
    const harness = createHarness();
    await harness.send('/stream/');
    const exchange = harness.connector.last;
    const [first] = exchange.added['hops'] as readonly string[];
    exchange.head();
    exchange.sendEvents(1, 2);
    harness.suspicions.suspect(first!, 'silent', {});
    await harness.flushPromises();
    const restarted = harness.connector.last;
    expect(exchange.isDisposed).toBe(true);
    expect(restarted.added).toMatchObject({lastEvent: 2});
    expect(restarted.added['hops']).not.toContain(first);
  });

  it('suspects the upstream of its path, not another one that now has the address', async () => {
    const harness = createHarness();
    await harness.send('/stream/');
    const exchange = harness.connector.last;
    const [first] = exchange.added['hops'] as readonly string[];
    const refusing = engines.find(({id}) => id === first)!;
    const successor = makeUpstream({
      ...refusing,
      id: 'successor',
      layers: undefined,
    });
    harness.directory.replace([...plainUpstreams, ...engines, successor]);
    exchange.respond(421, [
      'notRun',
      '1',
      'misdirected',
      '1',
      'faulty',
      refusing.address,
    ]);
    await harness.flushPromises();
    expect(harness.suspicions.isSuspect('successor')).toBe(false);
    expect(harness.suspicions.isSuspect(first!)).toBe(true);
  });

  it('that has begun waits for a path instead of being aborted', async () => {
    const harness = createHarness();
    const caller = await harness.send('/stream/');
    const first = harness.connector.last;
    first.head();
    first.sendEvents(1, 2);
    for (const {id} of engines) {
      harness.services.load.add(id, 10_000_000);
    }
    first.fail(true);
    await harness.advance(800);
    expect(caller.outcome).toBe('open');
    for (const {id} of engines) {
      harness.services.load.remove(id, 10_000_000);
    }
    await harness.advance(50);
    const second = harness.connector.last;
    second.head();
    second.sendEvents(3, 3);
    second.end();
    expect(caller.outcome).toBe('stream');
  });

  it('that could not leave a lost upstream for lack of budget leaves it once there is budget', async () => {
    const harness = createHarness();
    const {budget} = harness.services;
    const caller = await harness.send('/stream/');
    const exchange = harness.connector.last;
    const [first] = exchange.added['hops'] as readonly string[];
    exchange.head();
    exchange.sendEvents(1, 2);
    while (budget.tryTake('model', 'begun')) {
      // Uses up the budget.
    }
    harness.control.unreachableIds.add(first!);
    harness.suspicions.suspect(first!, 'silent', {});
    await harness.advance(100);
    expect(harness.connector.openedExchanges).toHaveLength(1);
    for (let count = 0; count < 20; count++) {
      budget.recordRequest('model');
    }
    await harness.advance(100);
    expect(harness.connector.openedExchanges.length).toBeGreaterThan(1);
    expect(harness.connector.last.added).toMatchObject({lastEvent: 2});
    expect(caller.outcome).toBe('open');
  });

  it('whose response was lost waits for budget when none is left', async () => {
    const harness = createHarness();
    const {budget} = harness.services;
    const caller = await harness.send('/stream/');
    const exchange = harness.connector.last;
    exchange.head();
    exchange.sendEvents(1, 2);
    while (budget.tryTake('model', 'begun')) {
      // Uses up the budget.
    }
    exchange.fail(true);
    await harness.advance(300);
    expect(caller.outcome).toBe('open');
    for (let count = 0; count < 20; count++) {
      budget.recordRequest('model');
    }
    await harness.advance(50);
    expect(harness.connector.last.added).toMatchObject({lastEvent: 2});
    expect(harness.connector.openedExchanges).toHaveLength(2);
  });

  it('moves off an upstream that reports to be slow', async () => {
    const harness = createHarness();
    await harness.send('/stream/');
    const exchange = harness.connector.last;
    const [first, second] = exchange.added['hops'] as readonly string[];
    exchange.head();
    exchange.sendEvents(1, 2);
    harness.services.slowness.recordOwn(second!, 6);
    await harness.flushPromises();
    const others: Readonly<Record<string, readonly string[]>> = {
      b1: ['a1,c1'],
      c1: ['a1,b1'],
      // No other upstream of its data centre holds the layers.
      b2: [],
    };
    expect(harness.control.requestedPaths).toEqual(others[second!]);
    expect(first).toBeDefined();
  });

  it('stays on an upstream that only refuses new work', async () => {
    const harness = createHarness();
    await harness.send('/stream/');
    const exchange = harness.connector.last;
    exchange.head();
    exchange.sendEvents(1, 2);
    for (const id of exchange.added['hops'] as readonly string[]) {
      harness.suspicions.suspect(id, 'refusing', {});
    }
    await harness.flushPromises();
    expect(exchange.isDisposed).toBe(false);
    expect(harness.control.requestedPaths).toEqual([]);
  });

  it.each([
    {gap: 14, limit: 70},
    {gap: 28, limit: 75},
    {gap: 40, limit: 95},
  ])(
    'with an event every $gap ms leaves an unreachable upstream within $limit ms',
    async ({gap, limit}) => {
      const harness = createHarness();
      await harness.send('/stream/');
      const running = harness.connector.last;
      running.head();
      for (let id = 1; id <= 20; id++) {
        running.sendEvents(id, id);
        await harness.advance(gap);
      }
      running.sendEvents(21, 21);
      const [first] = running.added['hops'] as readonly string[];
      harness.control.unreachableIds.add(first!);
      await harness.advance(limit);
      expect(running.isDisposed).toBe(true);
      expect(harness.connector.last.added).toMatchObject({lastEvent: 21});
    },
  );

  it('is not investigated when the event loop was blocked', async () => {
    const harness = createHarness();
    await harness.send('/stream/');
    const running = harness.connector.last;
    running.head();
    running.sendEvents(1, 1);
    await harness.advance(20);
    running.sendEvents(2, 2);
    const reportCount = harness.control.reportCount;
    // Timers run late, before the events that arrived in the meantime are read.
    harness.clock.pause(70);
    running.sendEvents(3, 3);
    await harness.advance(20);
    expect(harness.control.reportCount).toBe(reportCount);
  });

  it.each([
    {
      name: 'responds in time',
      responseAfter: 20,
      pausedFor: 0,
      at: 40,
      isSuspected: false,
    },
    {
      name: 'never responds',
      responseAfter: Infinity,
      pausedFor: 0,
      at: 40,
      isSuspected: true,
    },
    {
      name: 'has not responded in time',
      responseAfter: 100,
      pausedFor: 0,
      at: 40,
      isSuspected: true,
    },
    {
      name: 'has responded late',
      responseAfter: 100,
      pausedFor: 0,
      at: 101,
      isSuspected: false,
    },
    // The timeout of the probe fires before the response is read.
    {
      name: 'responds after the event loop was blocked',
      responseAfter: 61,
      pausedFor: 60,
      at: 90,
      isSuspected: false,
    },
    {
      name: 'responds right after the timeout',
      responseAfter: 32,
      pausedFor: 31,
      at: 40,
      isSuspected: false,
    },
    {
      name: 'never responds after the event loop was blocked',
      responseAfter: Infinity,
      pausedFor: 60,
      at: 130,
      isSuspected: true,
    },
  ])(
    'suspects an upstream that $name: $isSuspected',
    async ({responseAfter, pausedFor, at, isSuspected}) => {
      const harness = createHarness();
      const {clock, control, services, suspicions} = harness;
      const upstream = engines[0]!;
      control.reportDelayMilliseconds = responseAfter;
      void services.prober.probe(upstream, 'silent', {});
      await harness.flushPromises();
      clock.pause(pausedFor);
      await harness.advance(at - pausedFor);
      expect(suspicions.isSuspect(upstream.id)).toBe(isSuspected);
    },
  );

  // Guards against a loss in calm: the probe of a slow stream's upstreams took each late report for the end of its upstream.
  it('that is slow but not silent loses no upstream whose report is late', async () => {
    const harness = createHarness();
    const {control, suspicions} = harness;
    control.reportDelayMilliseconds = 100;
    const suspected: string[] = [];
    suspicions.onDidSuspect(({upstream}) => suspected.push(upstream));
    await harness.send('/stream/');
    const running = harness.connector.last;
    running.head();
    for (let event = 1, gap = 62; event <= 11; event++, gap *= 1.05) {
      running.sendEvents(event, event);
      await harness.advance(gap);
    }
    expect(control.reportCount).toBeGreaterThan(0);
    expect(suspected).toEqual([]);
    expect(running.isDisposed).toBe(false);
  });

  it('restarts after the loss of a later upstream if moving is disabled', async () => {
    const harness = createHarness({movedStreams: false});
    await harness.send('/stream/');
    const exchange = harness.connector.last;
    const [, second] = exchange.added['hops'] as readonly string[];
    exchange.head();
    exchange.sendEvents(1, 2);
    harness.suspicions.suspect(second!, 'silent', {});
    await harness.flushPromises();
    expect(harness.control.requestedPaths).toEqual([]);
    expect(harness.connector.openedExchanges).toHaveLength(2);
  });

  it.each([
    {silenceWatch: true, isProbed: true},
    {silenceWatch: false, isProbed: false},
  ])(
    'that falls silent causes probes only if the silence watch is enabled: $silenceWatch',
    async ({silenceWatch, isProbed}) => {
      const harness = createHarness({silenceWatch});
      await harness.send('/stream/');
      const exchange = harness.connector.last;
      exchange.head();
      exchange.sendEvents(1, 2);
      await harness.advance(1_000);
      expect(harness.control.reportCount > 0).toBe(isProbed);
    },
  );

  it.each([
    {boundedRooms: true, outcome: 'notRun'},
    {boundedRooms: false, outcome: 'open'},
  ])(
    'is refused for lack of capacity only if capacity is bounded: $boundedRooms',
    async ({boundedRooms, outcome}) => {
      const harness = createHarness({boundedRooms});
      const {load} = harness.services;
      engines.forEach(({id}) => load.add(id, 100_000_000));
      const caller = await harness.send('/stream/');
      await harness.advance(200);
      expect(caller.outcome).toBe(outcome);
    },
  );

  it('leaves an upstream that was restarted and does not return to it', async () => {
    const harness = createHarness();
    await harness.send('/stream/');
    const running = harness.connector.last;
    running.head();
    running.sendEvents(1, 2);
    const [first] = running.added['hops'] as readonly string[];
    harness.control.restarted.add(first!);
    const upstream = engines.find(({id}) => id === first)!;
    void harness.services.prober.probe(upstream, 'silent', {});
    await harness.flushPromises();
    expect(running.isDisposed).toBe(true);
    await harness.advance(2_000);
    expect(harness.suspicions.isSuspect(first!)).toBe(true);
  });

  it.each([
    {name: 'does not respond to a probe', isUnreachable: true},
    {name: 'responds to a probe', isUnreachable: false},
  ])(
    'leaves an upstream that refused another stream and $name: $isUnreachable',
    async ({isUnreachable}) => {
      const harness = createHarness();
      await harness.send('/stream/');
      const running = harness.connector.last;
      running.head();
      running.sendEvents(1, 2);
      const [first] = running.added['hops'] as readonly string[];
      const {address, dataCentre} = engines.find(({id}) => id === first)!;
      const elsewhere = engines.filter(
        engine => engine.dataCentre !== dataCentre,
      );
      const {load} = harness.services;
      elsewhere.forEach(({id}) => load.add(id, 10_000_000));
      await harness.send('/stream/');
      elsewhere.forEach(({id}) => load.remove(id, 10_000_000));
      const other = harness.connector.last;
      expect(other.added['hops']).toContain(first);
      if (isUnreachable) {
        harness.control.unreachableIds.add(first!);
      }
      other.respond(503, ['notRun', '1', 'faulty', address]);
      await harness.flushPromises();
      expect(running.isDisposed).toBe(isUnreachable);
    },
  );

  it('is refused with a retry delay when no path has capacity', async () => {
    const harness = createHarness();
    for (const {id} of engines) {
      harness.services.load.add(id, 10_000_000);
    }
    const caller = await harness.send('/stream/');
    expect(caller.outcome).toBe('open');
    // An eighth of the latency target.
    await harness.advance(200 / 8 + 20);
    expect(caller.own).toMatchObject({kind: 'notRun', reason: 'noRoom'});
  });
});
