import * as fastCheck from 'fast-check';
import {describe, expect, it} from 'vitest';

import {makeUpstream} from '../../fleet/test/upstreams.js';
import {layeredEngine} from '../../paths/test/engines.js';
import {
  makeConfiguration,
  makeRoute,
} from '../../traffic/test/trafficConfigurations.js';
import {Mechanisms} from '../../mechanisms/common/mechanisms.js';
import {
  eventText,
  FakeUpstreamExchange,
  ForwardingHarness,
} from './forwardingHarness.js';

const LAYERS = 8;

const routes = [
  makeRoute({name: 'safe', pathPrefix: '/safe/', kind: 'safe'}),
  makeRoute({
    name: 'unsafe',
    pathPrefix: '/unsafe/',
    kind: 'unsafe',
    attemptLimit: 1,
  }),
  makeRoute({name: 'public', pathPrefix: '/public/', isPublic: true}),
  makeRoute({
    name: 'stream',
    pathPrefix: '/stream/',
    kind: 'stream',
    isResumable: true,
    targets: [{service: 'model', weight: 1}],
  }),
  makeRoute({
    name: 'once',
    pathPrefix: '/once/',
    kind: 'stream',
    isResumable: false,
    targets: [{service: 'model', weight: 1}],
  }),
];

const configuration = makeConfiguration({
  routes,
  services: [
    ...makeConfiguration().services,
    {
      name: 'model',
      healthPath: '/healthz',
      connectionLimit: 100,
      engine: layeredEngine(LAYERS),
    },
  ],
});

const plainUpstreams = ['p1', 'p2', 'p3'].map((id, index) =>
  makeUpstream({id, address: `10.0.1.${index + 1}:1`}),
);

/** Two copies of the model: a1 and b1 or c1 in the north, a2 and b2 in the south. */
const engines = [
  ['a1', 'north', 0, 4],
  ['b1', 'north', 4, 8],
  ['c1', 'north', 4, 8],
  ['a2', 'south', 0, 4],
  ['b2', 'south', 4, 8],
].map(([id, dataCentre, from, to], index) =>
  makeUpstream({
    id: String(id),
    service: 'model',
    dataCentre: String(dataCentre),
    address: `10.0.2.${index + 1}:1`,
    acceleratorKind: 'small',
    layers: {from: Number(from), to: Number(to)},
  }),
);

function createHarness(
  mechanisms: Partial<Mechanisms> = {},
): ForwardingHarness {
  const upstreams = [...plainUpstreams, ...engines];
  return new ForwardingHarness(configuration, upstreams, mechanisms);
}

describe('admission', () => {
  it.each([
    {
      name: 'a target without a route',
      target: '/none/x',
      headers: [],
      outcome: 'router 404',
    },
    {
      name: 'an unknown key',
      target: '/safe/x',
      headers: ['key', 'wrong'],
      outcome: 'router 401',
    },
    {
      name: 'too long headers',
      target: '/safe/x',
      headers: ['long', 'x'.repeat(20_000)],
      outcome: 'router 431',
    },
    {
      name: 'a public route',
      target: '/public/x',
      headers: ['key', 'wrong'],
      outcome: 'open',
    },
    {name: 'a valid key', target: '/safe/x', headers: [], outcome: 'open'},
  ])('with $name results in "$outcome"', async ({target, headers, outcome}) => {
    const caller = await createHarness().send(target, headers);
    expect(caller.outcome).toBe(outcome);
  });

  it('rejects a body that exceeds the limit', async () => {
    const caller = await createHarness().send(
      '/safe/x',
      [],
      'x'.repeat(4_194_305),
    );
    expect(caller.outcome).toBe('router 413');
  });

  it('refuses a request with a key as not run while the configuration is unconfirmed', async () => {
    const harness = createHarness();
    await harness.advance(4000);
    const caller = await harness.send('/safe/x');
    await harness.advance(300);
    expect(caller.outcome).toBe('notRun');
    expect(harness.connector.openedExchanges).toHaveLength(0);
  });

  it('admits a request if the configuration is confirmed while it waits', async () => {
    const harness = createHarness();
    await harness.advance(4000);
    const caller = await harness.send('/safe/x');
    harness.configuration.confirm(harness.configuration.now());
    await harness.flushPromises();
    harness.connector.last.respond();
    expect(caller.outcome).toBe('upstream 200');
  });

  it('sends the account to the upstream', async () => {
    const harness = createHarness();
    await harness.send('/safe/x');
    expect(harness.connector.last.added).toMatchObject({account: 'account'});
  });
});

interface PlainCase {
  readonly name: string;
  readonly target: string;
  readonly steps: ReadonlyArray<(exchange: FakeUpstreamExchange) => void>;
  readonly outcome: string;
  readonly exchangeCount: number;
}

const refuse = (exchange: FakeUpstreamExchange): void =>
  exchange.respond(503, ['notRun', '1']);
const loseResponse = (exchange: FakeUpstreamExchange): void =>
  exchange.fail(true);
const failUnsent = (exchange: FakeUpstreamExchange): void =>
  exchange.fail(false);
const succeed = (exchange: FakeUpstreamExchange): void => exchange.respond();
const respondWithError = (exchange: FakeUpstreamExchange): void =>
  exchange.respond(500);
const succeedWithoutProof = (exchange: FakeUpstreamExchange): void =>
  exchange.respond(200, []);
const respondToOther = (exchange: FakeUpstreamExchange): void =>
  exchange.respond(200, ['id', 'other', 'proof', 'p']);
const respondEncoded = (exchange: FakeUpstreamExchange): void =>
  exchange.respond(200, ['proof', 'p', 'encoded', '1']);

const plainCases: readonly PlainCase[] = [
  {
    name: 'forwards a response',
    target: '/unsafe/',
    steps: [succeed],
    outcome: 'upstream 200',
    exchangeCount: 1,
  },
  {
    name: 'never retries an unsafe request that may have been executed',
    target: '/unsafe/',
    steps: [loseResponse],
    outcome: 'router 502',
    exchangeCount: 1,
  },
  {
    name: 'reports a refused unsafe request as not run',
    target: '/unsafe/',
    steps: [refuse],
    outcome: 'notRun',
    exchangeCount: 1,
  },
  {
    name: 'retries an unsafe request on another upstream when nothing was sent',
    target: '/unsafe/',
    steps: [failUnsent, succeed],
    outcome: 'upstream 200',
    exchangeCount: 2,
  },
  {
    name: 'forwards the error response to an unsafe request',
    target: '/unsafe/',
    steps: [respondWithError],
    outcome: 'upstream 500',
    exchangeCount: 1,
  },
  {
    name: 'retries a safe request after an error response',
    target: '/safe/',
    steps: [respondWithError, succeed],
    outcome: 'upstream 200',
    exchangeCount: 2,
  },
  {
    name: 'retries a safe request whose response was lost',
    target: '/safe/',
    steps: [loseResponse, succeed],
    outcome: 'upstream 200',
    exchangeCount: 2,
  },
  {
    name: 'forwards the last error response when a safe request has no attempts left',
    target: '/safe/',
    steps: [respondWithError, respondWithError],
    outcome: 'upstream 500',
    exchangeCount: 2,
  },
  {
    name: 'does not report a safe request as not run after a lost response',
    target: '/safe/',
    steps: [loseResponse, refuse],
    outcome: 'router 502',
    exchangeCount: 2,
  },
  {
    name: 'forwards no success without proof of execution',
    target: '/unsafe/',
    steps: [succeedWithoutProof],
    outcome: 'router 502',
    exchangeCount: 1,
  },
  {
    name: 'forwards no response to another request',
    target: '/unsafe/',
    steps: [respondToOther],
    outcome: 'router 502',
    exchangeCount: 1,
  },
  {
    name: 'forwards no encoded body',
    target: '/safe/',
    steps: [respondEncoded, succeed],
    outcome: 'upstream 200',
    exchangeCount: 2,
  },
];

describe('PlainForwarder', () => {
  it.each(plainCases)(
    '$name',
    async ({target, steps, outcome, exchangeCount}) => {
      const harness = createHarness();
      const caller = await harness.send(target);
      for (const step of steps) {
        step(harness.connector.last);
        await harness.flushPromises();
      }
      expect(caller.outcome).toBe(outcome);
      expect(harness.connector.openedExchanges).toHaveLength(exchangeCount);
    },
  );

  it('fails with 504 when the timeout of the route has passed', async () => {
    const harness = createHarness();
    const caller = await harness.send('/unsafe/');
    await harness.advance(999);
    expect(caller.outcome).toBe('open');
    await harness.advance(2);
    expect(caller.outcome).toBe('router 504');
    expect(harness.connector.last.isDisposed).toBe(true);
  });

  it('closes its exchanges when the caller disconnects', async () => {
    const harness = createHarness();
    const caller = await harness.send('/safe/');
    caller.leave();
    await harness.flushPromises();
    expect(
      harness.connector.openedExchanges.every(({isDisposed}) => isDisposed),
    ).toBe(true);
  });

  it('starts a second attempt in parallel to a slow one if the request is safe to repeat', async () => {
    const harness = createHarness();
    const caller = await harness.send('/safe/');
    await harness.advance(110);
    expect(harness.connector.openedExchanges).toHaveLength(2);
    harness.connector.last.respond();
    expect(caller.outcome).toBe('upstream 200');
    expect(harness.connector.openedExchanges[0]!.isDisposed).toBe(true);
  });
});

describe('a response that ends with its connection', () => {
  it.each([
    {target: '/unsafe/', isAlive: true, outcome: 'upstream 200'},
    {target: '/unsafe/', isAlive: false, outcome: 'router 502'},
    {target: '/once/', isAlive: true, outcome: 'stream'},
    {target: '/once/', isAlive: false, outcome: 'aborted'},
  ])(
    'to $target results in "$outcome" if its upstream is still alive: $isAlive',
    async ({target, isAlive, outcome}) => {
      const harness = createHarness();
      const caller = await harness.send(target);
      const {last} = harness.connector;
      if (!isAlive) {
        harness.control.unreachableIds.add(last.upstream.id);
      }
      last.head();
      last.sendEvents(1, 2);
      last.end(false);
      await harness.flushPromises();
      expect(caller.outcome).toBe(outcome);
    },
  );
});

describe('a response that ends with its connection through a peer', () => {
  it.each([
    {target: '/unsafe/', outcome: 'router 502'},
    {target: '/once/', outcome: 'aborted'},
  ])(
    'to $target results in "$outcome", since the peer may have ended',
    async ({target, outcome}) => {
      const harness = createHarness();
      const caller = await harness.send(target);
      const {last} = harness.connector;
      harness.links.recordTest(last.upstream.address, {
        isDirect: false,
        isRelayed: true,
      });
      last.head();
      last.sendEvents(1, 2);
      last.end(false);
      await harness.flushPromises();
      expect(caller.outcome).toBe(outcome);
    },
  );
});

describe('under any sequence of faults', () => {
  const steps = fastCheck.array(
    fastCheck.constantFrom(
      succeed,
      respondWithError,
      refuse,
      loseResponse,
      failUnsent,
      succeedWithoutProof,
      respondToOther,
    ),
    {maxLength: 6},
  );
  const targets = fastCheck.constantFrom(
    '/unsafe/',
    '/safe/',
    '/stream/',
    '/once/',
  );

  // Guards against a promise that a request has not run which no upstream made: a faulty one may send any status.
  it.each(
    [408, 421, 429, 503].flatMap(status => [
      {target: '/unsafe/x', status, outcome: 'router 502'},
      {target: '/once/', status, outcome: 'router 502'},
    ]),
  )(
    'a request to $target that is answered $status without more ends as "$outcome"',
    async ({target, status, outcome}) => {
      const harness = createHarness();
      const caller = await harness.send(target);
      harness.connector.last.respond(status);
      await harness.flushPromises();
      expect(caller.outcome).toBe(outcome);
      expect(harness.connector.openedExchanges).toHaveLength(1);
    },
  );

  // Guards against a refusal as not run at the time limit, while the end of the answer is still being checked.
  it.each([
    {target: '/unsafe/x', outcome: 'router 504'},
    {target: '/safe/x', outcome: 'router 504'},
    {target: '/once/', outcome: 'aborted'},
  ])(
    'a request to $target whose answer is still being checked at its time limit ends as "$outcome"',
    async ({target, outcome}) => {
      const harness = createHarness();
      harness.control.reportDelayMilliseconds = Infinity;
      const caller = await harness.send(target, ['deadline', '100']);
      const {last} = harness.connector;
      last.head();
      last.sendEvents(1, 2);
      last.end(false);
      await harness.advance(150);
      expect(caller.outcome).toBe(outcome);
    },
  );

  it('a request that must not be repeated is executed at most once, and "notRun" is reported only if nothing was executed', async () => {
    await fastCheck.assert(
      fastCheck.asyncProperty(targets, steps, async (target, faults) => {
        const harness = createHarness();
        const caller = await harness.send(target);
        const executed: string[] = [];
        for (const fault of faults) {
          if (caller.outcome !== 'open') {
            break;
          }
          const exchange = harness.connector.last;
          if (exchange.hasResponded) {
            // The request waits for a path.
            await harness.advance(100);
            continue;
          }
          if (fault !== refuse && fault !== failUnsent) {
            executed.push(exchange.upstream.id);
          }
          fault(exchange);
          await harness.flushPromises();
        }
        const mayRepeat = target === '/safe/' || target === '/stream/';
        if (!mayRepeat) {
          expect(executed.length).toBeLessThanOrEqual(1);
        }
        if (caller.outcome === 'notRun') {
          expect(executed).toEqual([]);
        }
      }),
      {numRuns: 300},
    );
  });
});

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
