import {makeUpstream} from '../../fleet/test/upstreams.js';
import {Mechanisms} from '../../mechanisms/common/mechanisms.js';
import {layeredEngine} from '../../paths/test/engines.js';
import {
  makeConfiguration,
  makeRoute,
} from '../../traffic/test/trafficConfigurations.js';
import {FakeUpstreamExchange} from './fakeUpstreams.js';
import {ForwardingHarness} from './forwardingHarness.js';

/** The routes and upstreams of the forwarding tests, and the responses that upstreams give in them. */

export const LAYERS = 8;

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

export const configuration = makeConfiguration({
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

export const plainUpstreams = ['p1', 'p2', 'p3'].map((id, index) =>
  makeUpstream({id, address: `10.0.1.${index + 1}:1`}),
);

/** Two copies of the model: a1 and b1 or c1 in the north, a2 and b2 in the south. */
export const engines = [
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

/** A harness with all of these upstreams. */
export function createHarness(
  mechanisms: Partial<Mechanisms> = {},
): ForwardingHarness {
  const upstreams = [...plainUpstreams, ...engines];
  return new ForwardingHarness(configuration, upstreams, mechanisms);
}

export const refuse = (exchange: FakeUpstreamExchange): void =>
  exchange.respond(503, ['notRun', '1']);
export const loseResponse = (exchange: FakeUpstreamExchange): void =>
  exchange.fail(true);
export const failUnsent = (exchange: FakeUpstreamExchange): void =>
  exchange.fail(false);
export const succeed = (exchange: FakeUpstreamExchange): void =>
  exchange.respond();
export const respondWithError = (exchange: FakeUpstreamExchange): void =>
  exchange.respond(500);
export const succeedWithoutProof = (exchange: FakeUpstreamExchange): void =>
  exchange.respond(200, []);
export const respondToOther = (exchange: FakeUpstreamExchange): void =>
  exchange.respond(200, ['id', 'other', 'proof', 'p']);
export const respondEncoded = (exchange: FakeUpstreamExchange): void =>
  exchange.respond(200, ['proof', 'p', 'encoded', '1']);
