import {describe, expect, it} from 'vitest';

import {makeUpstream} from '../../fleet/test/upstreams.js';
import {layeredEngine} from '../../paths/test/engines.js';
import {
  makeConfiguration,
  makeRoute,
} from '../../traffic/test/trafficConfigurations.js';
import {ForwardingHarness} from './forwardingHarness.js';
import {SilenceRule, StreamSimulation} from './streamSimulation.js';

const ATTEMPT_LIMIT = 2;
const ENGINES = 12;
const LAYERS = 8;

const configuration = makeConfiguration({
  routes: [
    {name: 'stream', attemptLimit: ATTEMPT_LIMIT},
    {name: 'generous', attemptLimit: 5},
  ].map(({name, attemptLimit}) =>
    makeRoute({
      name,
      pathPrefix: `/${name}/`,
      kind: 'stream',
      isResumable: true,
      attemptLimit,
      timeoutMilliseconds: 20_000,
      targets: [{service: 'model', weight: 1}],
    }),
  ),
  services: [
    {
      name: 'model',
      healthPath: '/healthz',
      connectionLimit: 100,
      engine: layeredEngine(LAYERS),
    },
  ],
});

const engines = [...Array(ENGINES).keys()].map(index =>
  makeUpstream({
    id: `engine-${index}`,
    service: 'model',
    address: `10.0.3.${index + 1}:1`,
    acceleratorKind: 'small',
    layers: {from: 0, to: LAYERS},
  }),
);

async function play(
  silence: SilenceRule,
  route = 'stream',
): Promise<StreamSimulation> {
  const harness = new ForwardingHarness(configuration, engines);
  const simulation = new StreamSimulation(harness, engines, silence);
  await simulation.play(`/${route}/`);
  return simulation;
}

interface SilenceCase extends SilenceRule {
  readonly name: string;
  /** Whether the caller is served; it leaves after two seconds without an event. */
  readonly isServed: boolean;
}

const cases: readonly SilenceCase[] = [
  ...[400, 1_000, 1_300].map(milliseconds => ({
    name: `each pause for ${milliseconds} ms`,
    eventsBefore: 2,
    milliseconds,
    isServed: true,
  })),
  {
    name: 'each pause before the first event',
    eventsBefore: 0,
    milliseconds: 1_000,
    isServed: true,
  },
  {
    name: 'are cut off one after the other',
    eventsBefore: 2,
    milliseconds: 6_000,
    isServed: false,
  },
  {
    name: 'leave unannounced and go on',
    eventsBefore: 2,
    milliseconds: 400,
    losesConnection: true,
    unlistedAfter: 0,
    // Neither may get it again, since both are leaving.
    isServed: false,
  },
  {
    name: 'refuse connections of a cut off instance',
    eventsBefore: 2,
    milliseconds: 6_000,
    losesConnection: true,
    isInstanceCut: true,
    isServed: false,
  },
  {
    name: 'refuse this instance alone',
    eventsBefore: 2,
    milliseconds: 6_000,
    losesConnection: true,
    losesLink: true,
    isServed: false,
  },
  {
    name: 'refuse all connections at their limit',
    eventsBefore: 2,
    milliseconds: 1_000,
    endsAs: 'refusing',
    isServed: true,
  },
  {
    name: 'refuse all but a peer that is silent',
    eventsBefore: 2,
    milliseconds: 6_000,
    losesConnection: true,
    endsAs: 'refusing',
    peerFindings: ['refused', 'unknown'],
    isServed: false,
  },
  {
    name: 'refuse an instance without peers',
    eventsBefore: 2,
    milliseconds: 6_000,
    losesConnection: true,
    endsAs: 'refusing',
    peerFindings: [],
    isServed: false,
  },
  {
    name: 'are cut off and lose their rows',
    eventsBefore: 150,
    events: 600,
    milliseconds: 20_000,
    unlistedAfter: 2_200,
    isServed: false,
  },
  {
    name: 'reset it and the list is wrong on them',
    eventsBefore: 2,
    milliseconds: 400,
    losesConnection: true,
    unlistedAfter: 0,
    isShadowed: true,
    // Neither is listed any more, so neither may get it again.
    isServed: false,
  },
];

const waysToEnd = [
  {way: 'closing and refusing', losesConnection: true, endsAs: 'refusing'},
  {way: 'closing and replaced', losesConnection: true, endsAs: 'replaced'},
  {way: 'silent and replaced', losesConnection: false, endsAs: 'replaced'},
  {way: 'closing and silent for good', losesConnection: true},
  {way: 'silent for good', losesConnection: false},
  {
    way: 'silent for good and unlisted',
    losesConnection: false,
    unlistedAfter: 2_200,
  },
] as const;

const endCases = waysToEnd.flatMap(({way, ...rule}) =>
  [0, 1, 20, 35, 150].map(eventsBefore => ({
    name: `${way} after ${eventsBefore} events`,
    rule: {...rule, eventsBefore, milliseconds: Infinity, events: 900},
  })),
);

describe('a stream whose upstreams are sound', () => {
  it.each(cases)(
    'is sent to no more of them than its route allows if they $name',
    async ({isServed, ...rule}) => {
      const simulation = await play(rule);
      expect(simulation.sentTo.size).toBeLessThanOrEqual(ATTEMPT_LIMIT);
      expect(simulation.isServed).toBe(isServed);
    },
  );
});

describe('a stream that could start nowhere else', () => {
  it('keeps its attempt while its upstream pauses', async () => {
    const simulation = await play({eventsBefore: 2, milliseconds: 1_000});
    expect(simulation.isServed).toBe(true);
    expect(simulation.sendCount).toBe(ATTEMPT_LIMIT);
  });
});

describe('a stream with attempts left', () => {
  it('is not held to end upstreams whose links to this instance are lost', async () => {
    const simulation = await play(
      {
        eventsBefore: 0,
        milliseconds: 6_000,
        losesConnection: true,
        losesLink: true,
        count: 3,
      },
      'generous',
    );
    expect(simulation.sentTo.size).toBe(4);
    expect(simulation.isServed).toBe(true);
  });

  it.each(endCases)(
    'is sent to no more than three upstreams that end under it, $name',
    async ({rule}) => {
      const simulation = await play(rule, 'generous');
      expect(simulation.sentTo.size).toBe(3);
    },
  );
});

describe('a stream whose upstreams end', () => {
  it.each([
    {name: 'refuse connections', endsAs: 'refusing' as const},
    {name: 'are replaced by another run', endsAs: 'replaced' as const},
  ])('goes on at a third one if the first two $name', async ({endsAs}) => {
    const simulation = await play({
      eventsBefore: 2,
      milliseconds: Infinity,
      losesConnection: true,
      endsAs,
      count: 2,
    });
    expect(simulation.sentTo.size).toBe(3);
    expect(simulation.isServed).toBe(true);
  });
});
