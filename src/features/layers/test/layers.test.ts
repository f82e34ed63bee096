import * as fastCheck from 'fast-check';
import {describe, expect, it} from 'vitest';

import {makeUpstream} from '../../fleet/test/upstreams.js';
import {LayerRange, Upstream} from '../../fleet/common/upstream.js';
import {layeredEngine} from '../../paths/test/engines.js';
import {RangeChange, closeGaps, RangeHolder} from '../common/closeGaps.js';
import {chooseRangeSizes, maxRangeSizes} from '../common/rangeSizes.js';
import {
  LayerAssignment,
  planLayers,
  excludeSlow,
} from '../common/planLayers.js';

const LAYERS = 20;
const engine = layeredEngine(LAYERS);
const layers = engine.layers!;

/** Accelerators by data centre and kind. */
type AcceleratorFleet = Readonly<
  Record<string, Readonly<Record<string, number>>>
>;

function toAcceleratorCounts(entries: AcceleratorFleet) {
  return new Map(
    Object.entries(entries).map(([dataCentre, kinds]) => [
      dataCentre,
      new Map(Object.entries(kinds)),
    ]),
  );
}

describe('range sizes by accelerator kind', () => {
  it.each<{name: string; fleet: AcceleratorFleet; small: number; fast: number}>(
    [
      {
        name: 'leave capacity for all slots in a large fleet',
        fleet: {north: {small: 40, fast: 10}},
        small: 5,
        fast: 11,
      },
      {
        name: 'reduce capacity until each capable data centre holds the model and some layers twice',
        fleet: {north: {small: 2, fast: 1}, south: {small: 40}},
        small: 5,
        fast: 13,
      },
      // Guards against ranges that leave no data centre room for requests, since one of them could just hold the model.
      {
        name: 'leave capacity if one of two data centres can hold the model beside next to none only',
        fleet: {north: {fast: 1}, south: {small: 40}},
        small: 5,
        fast: 11,
      },
      {
        name: 'leave capacity if one of three data centres has lost an upstream that it needs',
        fleet: {north: {small: 3}, south: {small: 6}, east: {small: 6}},
        small: 5,
        fast: 11,
      },
      {
        name: 'hold the model beside little capacity if no data centre can do better',
        fleet: {north: {small: 3}, south: {small: 3}},
        small: 7,
        fast: 15,
      },
      {
        name: 'provide no second holders if too little capacity would remain',
        fleet: {north: {small: 1, fast: 1}, south: {small: 40}},
        small: 6,
        fast: 14,
      },
      {
        name: 'provide two copies overall if no data centre can hold the model',
        fleet: {north: {small: 2}, south: {small: 2}, east: {small: 2}},
        small: 7,
        fast: 15,
      },
    ],
  )('$name', ({fleet, small, fast}) => {
    const sizes = chooseRangeSizes(engine, layers, toAcceleratorCounts(fleet));
    expect([sizes.get('small'), sizes.get('fast')]).toEqual([small, fast]);
  });

  it('never exceed the memory of an accelerator', () => {
    const sizes = chooseRangeSizes(
      engine,
      layers,
      toAcceleratorCounts({north: {small: 1}}),
    );
    for (const kind of layers.kinds) {
      const megabytes = sizes.get(kind.name)! * layers.layerMegabytes;
      expect(megabytes).toBeLessThanOrEqual(kind.memoryMegabytes);
    }
  });
});

it('the maximum of two size maps keeps the larger size of each kind', () => {
  const larger = maxRangeSizes(
    new Map([
      ['a', 9],
      ['b', 6],
    ]),
    new Map([
      ['a', 8],
      ['c', 3],
    ]),
  );
  expect(Object.fromEntries(larger)).toEqual({a: 9, b: 6, c: 3});
});

const sizes = new Map([
  ['small', 5],
  ['fast', 10],
]);

function upstreamWith(
  id: string,
  kind: string,
  held?: LayerRange,
  dataCentre = 'north',
): Upstream {
  return makeUpstream({id, acceleratorKind: kind, layers: held, dataCentre});
}

/** Parses a range in the form `from-to`, `to` exclusive. */
function parseRange(text: string): LayerRange {
  const [from = 0, to = 0] = text.split('-').map(Number);
  return {from, to};
}

/** Limits each upstream to the range size of its kind. */
function sizeLimit({acceleratorKind}: Upstream): number {
  return sizes.get(acceleratorKind ?? '') ?? 0;
}

function planRanges(
  upstreams: readonly Upstream[],
  orderedRanges: ReadonlyMap<string, LayerRange> = new Map(),
  recentlyAdded: ReadonlySet<string> = new Set(),
): Readonly<Record<string, string>> {
  const assignments = planLayers({
    layers,
    sizes,
    limitOf: sizeLimit,
    canCloseGaps: true,
    capacityShareOf: () => 1,
    upstreams,
    orderedRanges,
    recentlyAdded,
  });
  return Object.fromEntries(
    assignments.map(({upstream, range}) => [
      upstream.id,
      `${range.from}-${range.to}`,
    ]),
  );
}

/** Number of distinct layers that the assignments in a data centre cover. */
function coveredLayers(
  dataCentre: string,
  assignments: readonly LayerAssignment[],
): number {
  const covered = new Set<number>();
  for (const {upstream, range} of assignments) {
    for (let layer = range.from; layer < range.to; layer++) {
      if (upstream.dataCentre === dataCentre) {
        covered.add(layer);
      }
    }
  }
  return covered.size;
}

describe('slow upstreams', () => {
  const upstreams = ['n1', 'n2', 'n3', 's1', 's2'].map(id =>
    makeUpstream({
      id,
      dataCentre: id.startsWith('n') ? 'north' : 'south',
      acceleratorKind: 'small',
    }),
  );
  it.each([
    {slow: ['n1'], kept: ['n2', 'n3', 's1', 's2']},
    {slow: ['n1', 'n2'], kept: ['n1', 'n2', 'n3', 's1', 's2']},
    {slow: ['s1'], kept: ['n1', 'n2', 'n3', 's1', 's2']},
    {slow: ['n3', 's1'], kept: ['n1', 'n2', 's1', 's2']},
  ])(
    '$slow are excluded where the others can hold the model, so that $kept remain',
    ({slow, kept}) => {
      const left = excludeSlow(upstreams, id => slow.includes(id), {
        layers,
        limitOf: () => LAYERS / 2,
      });
      expect(left.map(({id}) => id)).toEqual(kept);
    },
  );
});

describe('ranges that close gaps', () => {
  const limits = new Map([
    ['small', 4],
    ['fast', 7],
  ]);
  const limitOf = ({acceleratorKind}: Upstream): number =>
    limits.get(acceleratorKind ?? '')!;
  const ranges = fastCheck.array(
    fastCheck.record({
      from: fastCheck.integer({min: 0, max: LAYERS - 1}),
      kind: fastCheck.constantFrom('small', 'fast'),
    }),
    {minLength: 1, maxLength: 12},
  );

  /** One layer is missing, and moving any single upstream would leave a larger gap. */
  const fleetWithGap = [
    upstreamWith('u0', 'small', {from: 0, to: 3}),
    upstreamWith('u1', 'small', {from: 3, to: 6}),
    upstreamWith('u2', 'small', {from: 6, to: 9}),
    upstreamWith('u3', 'small', {from: 9, to: 12}),
    upstreamWith('u4', 'fast', {from: 12, to: 19}),
  ];

  function toRangeHolders(
    upstreams: readonly Upstream[],
  ): readonly RangeHolder[] {
    return upstreams.map(upstream => ({
      upstream,
      held: upstream.layers!,
      limit: limitOf(upstream),
      capacityShareOf: () => 1,
      isFixed: false,
    }));
  }

  function planInputFor(upstreams: readonly Upstream[]) {
    return {
      layers,
      sizes: limits,
      limitOf,
      capacityShareOf: () => 1,
      canCloseGaps: true,
      upstreams,
      orderedRanges: new Map<string, LayerRange>(),
      recentlyAdded: new Set<string>(),
    };
  }

  /** The range of each upstream after the changes. */
  function heldAfter(
    upstreams: readonly Upstream[],
    changes: readonly RangeChange[],
  ): readonly LayerRange[] {
    const after = new Map(upstreams.map(({id, layers: held}) => [id, held!]));
    changes.forEach(({upstream, range}) => after.set(upstream.id, range));
    return [...after.values()];
  }

  function unheldLayers(held: readonly LayerRange[]): number {
    return [...Array(LAYERS).keys()].filter(
      layer => !held.some(({from, to}) => from <= layer && layer < to),
    ).length;
  }

  it('cover the model if it fits within the limits, and are undefined otherwise', () => {
    fastCheck.assert(
      fastCheck.property(ranges, held => {
        const upstreams = held.map(({from, kind}, index) => {
          const to = Math.min(LAYERS, from + 3);
          return upstreamWith(`u${index}`, kind, {from, to});
        });
        const found = closeGaps(LAYERS, toRangeHolders(upstreams));
        const total = held.reduce((sum, {kind}) => sum + limits.get(kind)!, 0);
        if (total < LAYERS) {
          expect(found).toBeUndefined();
          return;
        }
        expect(unheldLayers(heldAfter(upstreams, found!.changes))).toBe(0);
        for (const {range, upstream} of found!.changes) {
          expect(range.from).toBeGreaterThanOrEqual(0);
          expect(range.to).toBeLessThanOrEqual(LAYERS);
          expect(range.to - range.from).toBeLessThanOrEqual(limitOf(upstream));
        }
      }),
    );
  });

  it.each([
    {
      name: 'grow on both sides of a lost upstream without releasing layers',
      held: ['0-5', '9-14', '14-20'],
      limit: 8,
      expected: ['0-7', '7-14', '14-20'],
    },
    {
      name: 'grow only up to the limit of each upstream',
      held: ['0-5', '8-16', '16-20'],
      limit: 8,
      expected: ['0-8', '8-16', '16-20'],
    },
    {
      name: 'shift if the neighbours of the gap are at their limit',
      held: ['0-3', '3-9', '11-17', '17-20'],
      limit: 6,
      expected: ['0-4', '4-10', '10-16', '16-20'],
    },
    {
      name: 'stay unchanged if no layer is missing',
      held: ['0-6', '4-10', '10-20'],
      limit: 10,
      expected: ['0-6', '4-10', '10-20'],
    },
    {
      name: 'move an upstream whose layers have other holders',
      held: ['0-10', '4-9', '10-15'],
      limit: 5,
      expected: ['0-10', '15-20', '10-15'],
    },
  ])('$name', ({held, limit, expected}) => {
    const upstreams = held.map((text, index) =>
      upstreamWith(`u${index}`, 'small', parseRange(text)),
    );
    const holders = toRangeHolders(upstreams).map(holder => ({
      ...holder,
      limit,
    }));
    const found = closeGaps(LAYERS, holders);
    const after = heldAfter(upstreams, found!.changes);
    expect(after.map(({from, to}) => `${from}-${to}`)).toEqual(expected);
  });

  it('grow on the upstream with the most remaining capacity', () => {
    const upstreams = ['0-6', '8-14', '14-20'].map((text, index) =>
      upstreamWith(
        `u${index}`,
        index === 0 ? 'fast' : 'small',
        parseRange(text),
      ),
    );
    const holders = toRangeHolders(upstreams).map(holder => ({
      ...holder,
      limit: 8,
      capacityShareOf: () => (holder.upstream.id === 'u0' ? 1 : 0.4),
    }));
    const found = closeGaps(LAYERS, holders);
    expect(found?.changes).toEqual([
      {upstream: upstreams[0], range: {from: 0, to: 8}},
    ]);
  });

  it('close a gap by small shifts if no single move can close it', () => {
    const found = planLayers(planInputFor(fleetWithGap));
    expect(unheldLayers(heldAfter(fleetWithGap, found))).toBe(0);
    const largestShift = Math.max(
      ...found.map(({upstream, range}) =>
        Math.abs(range.from - upstream.layers!.from),
      ),
    );
    expect(largestShift).toBe(1);
  });

  it('do not change an upstream with a pending order', () => {
    const orderedRanges = new Map([['u4', {from: 12, to: 19}]]);
    const found = planLayers({...planInputFor(fleetWithGap), orderedRanges});
    expect(found).toEqual([]);
  });
});

describe('the layer plan', () => {
  it('covers the model in each data centre before it adds second holders', () => {
    const fleet = ['north', 'south'].flatMap(dataCentre => [
      upstreamWith(`${dataCentre}-f`, 'fast', undefined, dataCentre),
      upstreamWith(`${dataCentre}-1`, 'small', undefined, dataCentre),
      upstreamWith(`${dataCentre}-2`, 'small', undefined, dataCentre),
    ]);
    const assignments = planLayers({
      layers,
      sizes,
      limitOf: sizeLimit,
      canCloseGaps: true,
      capacityShareOf: () => 1,
      upstreams: fleet,
      orderedRanges: new Map(),
      recentlyAdded: new Set(),
    });
    for (const dataCentre of ['north', 'south']) {
      expect(coveredLayers(dataCentre, assignments)).toBe(LAYERS);
    }
  });

  it('assigns the missing layers to a new upstream', () => {
    const fleet = [
      upstreamWith('f', 'fast', {from: 0, to: 10}),
      upstreamWith('a', 'small', {from: 15, to: 20}),
      upstreamWith('new', 'small'),
    ];
    expect(planRanges(fleet)).toEqual({new: '10-15'});
  });

  it.each([
    {name: 'waits while no layer is missing', old: 'old', expected: {}},
    {
      name: 'gets missing layers at once',
      old: undefined,
      expected: {new: '15-20'},
    },
  ])('a recently added upstream $name', ({old, expected}) => {
    const fleet = [
      upstreamWith('f', 'fast', {from: 0, to: 10}),
      upstreamWith('a', 'small', {from: 10, to: 15}),
      ...(old === undefined
        ? []
        : [upstreamWith(old, 'small', {from: 15, to: 20})]),
      upstreamWith('new', 'small'),
    ];
    expect(planRanges(fleet, new Map(), new Set(['new']))).toEqual(expected);
  });

  it('counts ordered ranges as held', () => {
    const fleet = [upstreamWith('a', 'fast'), upstreamWith('b', 'fast')];
    const orderedRanges = new Map([['a', {from: 0, to: 10}]]);
    expect(planRanges(fleet, orderedRanges)).toEqual({b: '10-20'});
  });

  it('changes nothing while all layers are held', () => {
    const fleet = [
      upstreamWith('a', 'fast', {from: 0, to: 10}),
      upstreamWith('b', 'fast', {from: 10, to: 20}),
    ];
    expect(planRanges(fleet)).toEqual({});
  });

  it('moves a spare holder to layers that are missing in its data centre', () => {
    const fleet = [
      upstreamWith('a', 'fast', {from: 0, to: 10}),
      upstreamWith('b', 'small', {from: 10, to: 15}),
      upstreamWith('spare', 'small', {from: 4, to: 9}),
      upstreamWith('c', 'fast', {from: 10, to: 20}, 'south'),
    ];
    expect(planRanges(fleet)).toEqual({spare: '15-20'});
  });

  it('changes nothing in a data centre that cannot hold the model alone', () => {
    const fleet = [
      upstreamWith('a', 'fast', {from: 0, to: 10}),
      upstreamWith('spare', 'small', {from: 4, to: 9}),
      upstreamWith('c', 'fast', {from: 10, to: 20}, 'south'),
    ];
    expect(planRanges(fleet)).toEqual({});
  });

  it('makes only moves after which fewer layers are missing', () => {
    const fleet = [
      upstreamWith('a', 'fast', {from: 0, to: 10}),
      upstreamWith('b', 'small', {from: 10, to: 15}),
      upstreamWith('c', 'small', {from: 14, to: 19}),
      upstreamWith('d', 'small', {from: 12, to: 17}),
    ];
    const moves = planRanges(fleet);
    expect(Object.keys(moves)).toHaveLength(1);
    expect(Object.values(moves)).toEqual(['15-20']);
  });

  it('moves an upstream to unheld layers if its own have three holders', () => {
    const fleet = [
      upstreamWith('a', 'fast', {from: 0, to: 10}, 'north'),
      upstreamWith('b', 'fast', {from: 0, to: 10}, 'south'),
      upstreamWith('c', 'fast', {from: 0, to: 10}, 'east'),
      upstreamWith('d', 'small', {from: 15, to: 20}, 'west'),
    ];
    expect(planRanges(fleet)).toEqual({a: '10-20'});
  });

  it('moves no upstream whose layers would be left with one holder', () => {
    const fleet = [
      upstreamWith('a', 'fast', {from: 0, to: 10}, 'north'),
      upstreamWith('b', 'fast', {from: 0, to: 10}, 'south'),
      upstreamWith('d', 'small', {from: 15, to: 20}, 'west'),
    ];
    expect(planRanges(fleet)).toEqual({});
  });
});
