import {describe, expect, it} from 'vitest';

import {makeUpstream} from '../../fleet/test/upstreams.js';
import {layeredEngine} from '../../paths/test/engines.js';
import {
  makeConfiguration,
  makeRoute,
} from '../../traffic/test/trafficConfigurations.js';
import {RouterResponse} from '../common/callerExchange.js';
import {FakeUpstreamExchange, ForwardingHarness} from './forwardingHarness.js';

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

/** Exchanges that continue a stream. */
function resumed({
  connector,
}: ForwardingHarness): readonly FakeUpstreamExchange[] {
  return connector.openedExchanges.filter(
    ({added}) => added['lastEvent'] === 3,
  );
}
