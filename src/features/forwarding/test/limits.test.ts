import {describe, expect, it} from 'vitest';

import {makeUpstream} from '../../fleet/test/upstreams.js';
import {layeredEngine} from '../../paths/test/engines.js';
import {
  makeConfiguration,
  makeRoute,
} from '../../traffic/test/trafficConfigurations.js';
import {RouterResponse} from '../common/callerExchange.js';
import {FakeCaller} from './fakeCaller.js';
import {FakeConnector, FakeUpstreamExchange} from './fakeUpstreams.js';
import {ForwardingHarness} from './forwardingHarness.js';

/** What one instance sends to upstreams that name a limit. It is the only instance, so that the limits are its own. */

const LAYERS = 8;

const configuration = makeConfiguration({
  routes: [
    makeRoute({
      name: 'plain',
      pathPrefix: '/plain/',
      kind: 'safe',
      attemptLimit: 2,
      timeoutMilliseconds: 10_000,
    }),
    makeRoute({
      name: 'stream',
      pathPrefix: '/stream/',
      kind: 'stream',
      isResumable: true,
      timeoutMilliseconds: 10_000,
      targets: [{service: 'model', weight: 1}],
    }),
  ],
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

const plainUpstreams = ['p1', 'p2'].map((id, index) =>
  makeUpstream({id, address: `10.0.1.${index + 1}:1`}),
);

/** Two entry engines; `whole` holds the layers of `end`, too. */
const engines = [
  {id: 'start', layers: {from: 0, to: 4}},
  {id: 'whole', layers: {from: 0, to: 8}},
  {id: 'end', layers: {from: 4, to: 8}},
].map(({id, layers}, index) =>
  makeUpstream({
    id,
    layers,
    service: 'model',
    address: `10.0.2.${index + 1}:1`,
    acceleratorKind: 'small',
  }),
);

const limitHeaders = ['proof', 'p', 'limit', '2'];

function createHarness(): ForwardingHarness {
  return new ForwardingHarness(configuration, [...plainUpstreams, ...engines]);
}

function limit(harness: ForwardingHarness, ...ids: readonly string[]): void {
  ids.forEach(id => harness.limits.recordOwn(id, 2, 0));
}

function sentTo({connector}: ForwardingHarness): readonly string[] {
  return connector.openedExchanges.map(({upstream}) => upstream.id);
}

describe('a request to limited upstreams', () => {
  it.each([
    {target: '/plain/x', limited: ['p1'], used: 'p2'},
    {target: '/stream/x', limited: ['start'], used: 'whole'},
    {target: '/stream/x', limited: ['whole'], used: 'start'},
  ])(
    'on $target goes to $used while $limited have reached their limits',
    async ({target, limited, used}) => {
      const harness = createHarness();
      limit(harness, ...limited);
      await harness.send(target);
      await harness.send(target);
      expect(sentTo(harness)).toEqual([used, used]);
    },
  );

  it.each([
    {target: '/plain/x', limited: ['p1', 'p2']},
    {target: '/stream/x', limited: ['start', 'whole']},
  ])(
    'on $target is refused as not run at once when all have reached their limits, with the time of the next slot',
    async ({target, limited}) => {
      const harness = createHarness();
      limit(harness, ...limited);
      const caller = await harness.send(target);
      expect(caller.own).toMatchObject({kind: 'notRun', reason: 'limited'});
      const {retryAfterMilliseconds} = caller.own as Extract<
        RouterResponse,
        {kind: 'notRun'}
      >;
      expect(retryAfterMilliseconds).toBeGreaterThanOrEqual(400);
      expect(sentTo(harness)).toEqual([]);
    },
  );

  it('is sent once a slot of the limit is free, and not twice in it', async () => {
    const harness = createHarness();
    limit(harness, 'start', 'whole');
    await harness.send('/stream/x');
    await harness.advance(500);
    await harness.send('/stream/x');
    await harness.send('/stream/x');
    await harness.send('/stream/x');
    expect(sentTo(harness)).toHaveLength(2);
  });

  it('counts repeats and resumed streams', async () => {
    const harness = createHarness();
    limit(harness, 'start', 'whole');
    await harness.send('/stream/x');
    await harness.advance(500);
    await harness.send('/stream/x');
    const [first] = harness.connector.openedExchanges;
    first!.head(200, limitHeaders);
    first!.sendEvents(1, 3);
    first!.fail(true);
    await harness.advance(20);
    // The other upstream has a slot for the resumed stream; then none is left.
    expect(resumed(harness)).toHaveLength(1);
    const caller = await harness.send('/stream/x');
    expect(caller.own).toMatchObject({kind: 'notRun', reason: 'limited'});
    expect(sentTo(harness)).toHaveLength(2);
  });

  it('goes there again as before once an answer names no limit', async () => {
    const harness = createHarness();
    limit(harness, 'p1', 'p2');
    await harness.send('/plain/x');
    await harness.advance(500);
    await harness.send('/plain/x');
    harness.connector.last.respond();
    const {id} = harness.connector.last.upstream;
    for (let count = 0; count < 3; count++) {
      await harness.send('/plain/x');
    }
    expect(sentTo(harness).filter(sent => sent === id).length).toBeGreaterThan(
      2,
    );
  });
});

/** The published bound: requests that an upstream may get from half a second after it asked for rest to its end. */
const REST_NOTICE_MILLISECONDS = 500;
const REQUESTS_IN_REST = 2;

const REQUESTS_AT_ONCE = 3;

interface RestCase {
  readonly target: string;
  readonly asking: readonly string[];
  readonly restMilliseconds: number;
}

/** What the upstreams of one play got and what its callers were told. */
interface RestPlay {
  /** Times at which each upstream got a request, by its identifier. */
  readonly arrivals: ReadonlyMap<string, readonly number[]>;
  /** When each asking upstream asked for rest first. */
  readonly askedAt: ReadonlyMap<string, number>;
  readonly callers: readonly FakeCaller[];
}

/** Sends some requests every 100 ms; the asking upstreams shed each one, the others answer. */
async function playRests(
  {target, asking, restMilliseconds}: RestCase,
  milliseconds: number,
): Promise<RestPlay> {
  const harness = createHarness();
  const {connector, clock} = harness;
  const arrivals = new Map<string, number[]>();
  const askedAt = new Map<string, number>();
  const callers: FakeCaller[] = [];
  while (clock.monotonicMilliseconds() < milliseconds) {
    for (let count = 0; count < REQUESTS_AT_ONCE; count++) {
      callers.push(await harness.send(target));
    }
    let waiting = openExchanges(connector);
    while (waiting.length > 0) {
      for (const exchange of waiting) {
        const {id} = exchange.upstream;
        const now = clock.monotonicMilliseconds();
        arrivals.set(id, [...(arrivals.get(id) ?? []), now]);
        if (asking.includes(id)) {
          askedAt.set(id, askedAt.get(id) ?? now);
          exchange.respond(503, ['notRun', '1', 'rest', `${restMilliseconds}`]);
        } else {
          exchange.respond(200, ['proof', 'p'], '');
        }
      }
      await harness.flushPromises();
      waiting = openExchanges(connector);
    }
    await harness.advance(100);
  }
  return {arrivals, askedAt, callers};
}

function openExchanges(
  connector: FakeConnector,
): readonly FakeUpstreamExchange[] {
  return connector.openedExchanges.filter(
    ({hasResponded, isDisposed}) => !hasResponded && !isDisposed,
  );
}

describe('an upstream that asks for rest', () => {
  it.each<RestCase>([
    {target: '/plain/x', asking: ['p1'], restMilliseconds: 3_000},
    {target: '/plain/x', asking: ['p1', 'p2'], restMilliseconds: 3_000},
    {target: '/plain/x', asking: ['p2'], restMilliseconds: 1_250},
    {target: '/stream/x', asking: ['whole'], restMilliseconds: 3_000},
    {target: '/stream/x', asking: ['start', 'whole'], restMilliseconds: 3_000},
  ])(
    'gets no more of $target than is published if $asking ask for $restMilliseconds ms',
    async restCase => {
      const {restMilliseconds} = restCase;
      const {arrivals, askedAt} = await playRests(restCase, restMilliseconds);
      for (const id of restCase.asking) {
        const from = askedAt.get(id)!;
        const inRest = arrivals
          .get(id)!
          .filter(
            at =>
              at >= from + REST_NOTICE_MILLISECONDS &&
              at < from + restMilliseconds,
          );
        expect(inRest.length).toBeLessThanOrEqual(REQUESTS_IN_REST);
      }
    },
  );

  it('lets callers come back when the first upstream is free', async () => {
    const {callers} = await playRests(
      {target: '/plain/x', asking: ['p1', 'p2'], restMilliseconds: 3_000},
      1_000,
    );
    expect(callers.at(-1)?.own).toMatchObject({
      kind: 'notRun',
      reason: 'limited',
    });
    const {retryAfterMilliseconds} = callers.at(-1)?.own as Extract<
      RouterResponse,
      {kind: 'notRun'}
    >;
    expect(retryAfterMilliseconds).toBeGreaterThan(1_900);
  });
});

/** The published bound: an upstream that said that it leaves gets nothing that was sent later than this. */
const DRAIN_MILLISECONDS = 2_000;

describe('an upstream that says in an answer that it leaves', () => {
  it.each([
    {target: '/plain/x', status: 200},
    {target: '/plain/x', status: 503},
    {target: '/stream/x', status: 200},
    {target: '/stream/x', status: 503},
  ])(
    'with status $status gets nothing new of $target, also if it is listed as ready or was not listed for a while',
    async ({target, status}) => {
      const harness = createHarness();
      const {connector, directory} = harness;
      await harness.send(target);
      const {upstream} = connector.last;
      const isWhole = status === 200 ? 'proof' : 'notRun';
      connector.last.respond(status, [isWhole, '1', 'leaving', '1'], '');
      const upstreams = [...plainUpstreams, ...engines];
      const without = upstreams.filter(({id}) => id !== upstream.id);
      for (const list of [upstreams, without, without, upstreams]) {
        await harness.advance(1_000);
        directory.replace(list);
        await harness.flushPromises();
      }
      const sentBefore = connector.openedExchanges.length;
      expect(harness.clock.monotonicMilliseconds()).toBeGreaterThan(
        DRAIN_MILLISECONDS,
      );
      harness.configuration.confirm(harness.configuration.now());
      for (let count = 0; count < 6; count++) {
        await harness.send(target);
      }
      const later = sentTo(harness).slice(sentBefore);
      expect(later).toHaveLength(6);
      expect(later).not.toContain(upstream.id);
    },
  );
});

/** Exchanges that continue a stream. */
function resumed({
  connector,
}: ForwardingHarness): readonly FakeUpstreamExchange[] {
  return connector.openedExchanges.filter(
    ({added}) => added['lastEvent'] === 3,
  );
}
