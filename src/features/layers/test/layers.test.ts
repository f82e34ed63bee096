import * as fastCheck from 'fast-check';
import {describe, expect, it} from 'vitest';

import {makeUpstream} from '../../fleet/test/upstreams.js';
import {LayerRange, Upstream} from '../../fleet/common/upstream.js';
import {layeredEngine} from '../../paths/test/engines.js';
import {
  ChangedRange,
  completeRanges,
  RangeHolder,
} from '../common/completeRanges.js';
import {chooseLayerSizes, largerSizes} from '../common/layerSize.js';
import {
  LayerAssignment,
  planLayers,
  withoutSlow,
} from '../common/planLayers.js';

const LAYERS = 20;
const engine = layeredEngine(LAYERS);
const layers = engine.layers!;

/** Accelerators by data centre and kind. */
type Fleet = Readonly<Record<string, Readonly<Record<string, number>>>>;

function counts(entries: Fleet) {
  return new Map(
    Object.entries(entries).map(([dataCentre, kinds]) => [
      dataCentre,
      new Map(Object.entries(kinds)),
    ]),
  );
}

describe('layers for each kind', () => {
  it.each<{name: string; fleet: Fleet; small: number; fast: number}>([
    {
      name: 'leave room for all slots where the fleet is large',
      fleet: {north: {small: 40, fast: 10}},
      small: 5,
      fast: 11,
    },
    {
      name: 'give room up until each able data centre holds the model and some layers twice',
      fleet: {north: {small: 2, fast: 1}, south: {small: 40}},
      small: 5,
      fast: 13,
    },
    {
      name: 'hold nothing twice where that would leave too little room',
      fleet: {north: {small: 1, fast: 1}, south: {small: 40}},
      small: 6,
      fast: 14,
    },
    {
      name: 'hold the model twice over all where no data centre is able',
      fleet: {north: {small: 2}, south: {small: 2}, east: {small: 2}},
      small: 7,
      fast: 15,
    },
  ])('$name', ({fleet, small, fast}) => {
    const sizes = chooseLayerSizes(engine, layers, counts(fleet));
    expect([sizes.get('small'), sizes.get('fast')]).toEqual([small, fast]);
  });

  it('never exceed the memory of an accelerator', () => {
    const sizes = chooseLayerSizes(engine, layers, counts({north: {small: 1}}));
    for (const kind of layers.kinds) {
      const megabytes = sizes.get(kind.name)! * layers.layerMegabytes;
      expect(megabytes).toBeLessThanOrEqual(kind.memoryMegabytes);
    }
  });
});

it('the larger sizes keep what an earlier plan gave', () => {
  const larger = largerSizes(
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

function card(
  id: string,
  kind: string,
  held?: LayerRange,
  dataCentre = 'north',
): Upstream {
  return makeUpstream({id, acceleratorKind: kind, layers: held, dataCentre});
}

/** A range written as its first layer and the one behind its last. */
function rangeOf(text: string): LayerRange {
  const [from = 0, to = 0] = text.split('-').map(Number);
  return {from, to};
}

/** Nothing may grow beyond its usual size. */
function sizeLimit({acceleratorKind}: Upstream): number {
  return sizes.get(acceleratorKind ?? '') ?? 0;
}

function plan(
  upstreams: readonly Upstream[],
  ordered: ReadonlyMap<string, LayerRange> = new Map(),
  fresh: ReadonlySet<string> = new Set(),
): Readonly<Record<string, string>> {
  const assignments = planLayers({
    layers,
    sizes,
    limitOf: sizeLimit,
    canComplete: true,
    roomShareOf: () => 1,
    upstreams,
    ordered,
    fresh,
  });
  return Object.fromEntries(
    assignments.map(({upstream, range}) => [
      upstream.id,
      `${range.from}-${range.to}`,
    ]),
  );
}

/** How many different layers the assignments in a data centre cover. */
function coveredBy(
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
  ])('$slow leave $kept to be planned with', ({slow, kept}) => {
    const left = withoutSlow(upstreams, id => slow.includes(id), {
      layers,
      limitOf: () => LAYERS / 2,
    });
    expect(left.map(({id}) => id)).toEqual(kept);
  });
});

describe('completed ranges', () => {
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

  /** Each move leaves more behind than the one layer that is lacking. */
  const stuck = [
    card('u0', 'small', {from: 0, to: 3}),
    card('u1', 'small', {from: 3, to: 6}),
    card('u2', 'small', {from: 6, to: 9}),
    card('u3', 'small', {from: 9, to: 12}),
    card('u4', 'fast', {from: 12, to: 19}),
  ];

  function holdersOf(upstreams: readonly Upstream[]): readonly RangeHolder[] {
    return upstreams.map(upstream => ({
      upstream,
      held: upstream.layers!,
      limit: limitOf(upstream),
      roomShareOf: () => 1,
      isFixed: false,
    }));
  }

  function situationOf(upstreams: readonly Upstream[]) {
    return {
      layers,
      sizes: limits,
      limitOf,
      roomShareOf: () => 1,
      canComplete: true,
      upstreams,
      ordered: new Map<string, LayerRange>(),
      fresh: new Set<string>(),
    };
  }

  /** What each holds once the changes are carried out. */
  function heldAfter(
    upstreams: readonly Upstream[],
    changes: readonly ChangedRange[],
  ): readonly LayerRange[] {
    const after = new Map(upstreams.map(({id, layers: held}) => [id, held!]));
    changes.forEach(({upstream, range}) => after.set(upstream.id, range));
    return [...after.values()];
  }

  function lackingOf(held: readonly LayerRange[]): number {
    return [...Array(LAYERS).keys()].filter(
      layer => !held.some(({from, to}) => from <= layer && layer < to),
    ).length;
  }

  it('cover the model wherever it fits, and change nothing elsewhere', () => {
    fastCheck.assert(
      fastCheck.property(ranges, held => {
        const upstreams = held.map(({from, kind}, index) => {
          const to = Math.min(LAYERS, from + 3);
          return card(`u${index}`, kind, {from, to});
        });
        const found = completeRanges(LAYERS, holdersOf(upstreams));
        const total = held.reduce((sum, {kind}) => sum + limits.get(kind)!, 0);
        if (total < LAYERS) {
          expect(found).toBeUndefined();
          return;
        }
        expect(lackingOf(heldAfter(upstreams, found!.changes))).toBe(0);
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
      name: 'grow on both sides of a loss, and nothing is given up',
      held: ['0-5', '9-14', '14-20'],
      limit: 8,
      expected: ['0-7', '7-14', '14-20'],
    },
    {
      name: 'grow where there is room for it',
      held: ['0-5', '8-16', '16-20'],
      limit: 8,
      expected: ['0-8', '8-16', '16-20'],
    },
    {
      name: 'shift where the neighbours have no room left',
      held: ['0-3', '3-9', '11-17', '17-20'],
      limit: 6,
      expected: ['0-4', '4-10', '10-16', '16-20'],
    },
    {
      name: 'stay as they are when nothing is lacking',
      held: ['0-6', '4-10', '10-20'],
      limit: 10,
      expected: ['0-6', '4-10', '10-20'],
    },
    {
      name: 'move what others hold, too',
      held: ['0-10', '4-9', '10-15'],
      limit: 5,
      expected: ['0-10', '15-20', '10-15'],
    },
  ])('$name', ({held, limit, expected}) => {
    const upstreams = held.map((text, index) =>
      card(`u${index}`, 'small', rangeOf(text)),
    );
    const holders = holdersOf(upstreams).map(holder => ({...holder, limit}));
    const found = completeRanges(LAYERS, holders);
    const after = heldAfter(upstreams, found!.changes);
    expect(after.map(({from, to}) => `${from}-${to}`)).toEqual(expected);
  });

  it('grow where most room for requests is left', () => {
    const upstreams = ['0-6', '8-14', '14-20'].map((text, index) =>
      card(`u${index}`, index === 0 ? 'fast' : 'small', rangeOf(text)),
    );
    const holders = holdersOf(upstreams).map(holder => ({
      ...holder,
      limit: 8,
      roomShareOf: () => (holder.upstream.id === 'u0' ? 1 : 0.4),
    }));
    const found = completeRanges(LAYERS, holders);
    expect(found?.changes).toEqual([
      {upstream: upstreams[0], range: {from: 0, to: 8}},
    ]);
  });

  it('close a gap that no single move closes', () => {
    const found = planLayers(situationOf(stuck));
    expect(lackingOf(heldAfter(stuck, found))).toBe(0);
    const largestShift = Math.max(
      ...found.map(({upstream, range}) =>
        Math.abs(range.from - upstream.layers!.from),
      ),
    );
    expect(largestShift).toBe(1);
  });

  it('leave an upstream alone that has an order to carry out', () => {
    const ordered = new Map([['u4', {from: 12, to: 19}]]);
    const found = planLayers({...situationOf(stuck), ordered});
    expect(found).toEqual([]);
  });
});

describe('the plan of layers', () => {
  it('covers the model in each data centre before it doubles anything', () => {
    const fleet = ['north', 'south'].flatMap(dataCentre => [
      card(`${dataCentre}-f`, 'fast', undefined, dataCentre),
      card(`${dataCentre}-1`, 'small', undefined, dataCentre),
      card(`${dataCentre}-2`, 'small', undefined, dataCentre),
    ]);
    const assignments = planLayers({
      layers,
      sizes,
      limitOf: sizeLimit,
      canComplete: true,
      roomShareOf: () => 1,
      upstreams: fleet,
      ordered: new Map(),
      fresh: new Set(),
    });
    for (const dataCentre of ['north', 'south']) {
      expect(coveredBy(dataCentre, assignments)).toBe(LAYERS);
    }
  });

  it('gives a new upstream the layers that were lost', () => {
    const fleet = [
      card('f', 'fast', {from: 0, to: 10}),
      card('a', 'small', {from: 15, to: 20}),
      card('new', 'small'),
    ];
    expect(plan(fleet)).toEqual({new: '10-15'});
  });

  it.each([
    {name: 'waits while none is lacking', old: 'old', expected: {}},
    {
      name: 'takes what is lacking at once',
      old: undefined,
      expected: {new: '15-20'},
    },
  ])('an upstream that has just come $name', ({old, expected}) => {
    const fleet = [
      card('f', 'fast', {from: 0, to: 10}),
      card('a', 'small', {from: 10, to: 15}),
      ...(old === undefined ? [] : [card(old, 'small', {from: 15, to: 20})]),
      card('new', 'small'),
    ];
    expect(plan(fleet, new Map(), new Set(['new']))).toEqual(expected);
  });

  it('counts what was ordered as held', () => {
    const fleet = [card('a', 'fast'), card('b', 'fast')];
    const ordered = new Map([['a', {from: 0, to: 10}]]);
    expect(plan(fleet, ordered)).toEqual({b: '10-20'});
  });

  it('changes nothing while all layers are held', () => {
    const fleet = [
      card('a', 'fast', {from: 0, to: 10}),
      card('b', 'fast', {from: 10, to: 20}),
    ];
    expect(plan(fleet)).toEqual({});
  });

  it('moves a spare holder to layers that its data centre lacks', () => {
    const fleet = [
      card('a', 'fast', {from: 0, to: 10}),
      card('b', 'small', {from: 10, to: 15}),
      card('spare', 'small', {from: 4, to: 9}),
      card('c', 'fast', {from: 10, to: 20}, 'south'),
    ];
    expect(plan(fleet)).toEqual({spare: '15-20'});
  });

  it('leaves a data centre that can not hold the model alone', () => {
    const fleet = [
      card('a', 'fast', {from: 0, to: 10}),
      card('spare', 'small', {from: 4, to: 9}),
      card('c', 'fast', {from: 10, to: 20}, 'south'),
    ];
    expect(plan(fleet)).toEqual({});
  });

  it('moves nothing that lacks as much afterwards', () => {
    const fleet = [
      card('a', 'fast', {from: 0, to: 10}),
      card('b', 'small', {from: 10, to: 15}),
      card('c', 'small', {from: 14, to: 19}),
      card('d', 'small', {from: 12, to: 17}),
    ];
    const moves = plan(fleet);
    expect(Object.keys(moves)).toHaveLength(1);
    expect(Object.values(moves)).toEqual(['15-20']);
  });

  it('moves an upstream whose layers are held three times to those that nobody holds', () => {
    const fleet = [
      card('a', 'fast', {from: 0, to: 10}, 'north'),
      card('b', 'fast', {from: 0, to: 10}, 'south'),
      card('c', 'fast', {from: 0, to: 10}, 'east'),
      card('d', 'small', {from: 15, to: 20}, 'west'),
    ];
    expect(plan(fleet)).toEqual({a: '10-20'});
  });

  it('moves nothing where that would take a needed holder away', () => {
    const fleet = [
      card('a', 'fast', {from: 0, to: 10}, 'north'),
      card('b', 'fast', {from: 0, to: 10}, 'south'),
      card('d', 'small', {from: 15, to: 20}, 'west'),
    ];
    expect(plan(fleet)).toEqual({});
  });
});
