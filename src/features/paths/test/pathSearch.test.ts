import * as fastCheck from 'fast-check';
import {describe, expect, it} from 'vitest';

import {makeUpstream} from '../../fleet/test/upstreams.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {RequestLoad} from '../../fleet/common/upstreamLoadTracker.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {LinkLoad} from '../common/linkLoad.js';
import {countCrossings, formatPath} from '../common/path.js';
import {findPath, PathQuery} from '../common/pathSearch.js';
import {layeredEngine} from './engines.js';

const LAYERS = 8;

function holder(
  id: string,
  from: number,
  to: number,
  fields: Partial<Upstream> = {},
): Upstream {
  return makeUpstream({
    id,
    acceleratorKind: 'small',
    layers: {from, to},
    ...fields,
  });
}

function loadOf(fields: Partial<RequestLoad>): RequestLoad {
  return {requests: 0, starts: 0, tokenLayers: 0, ...fields};
}

function search(
  upstreams: readonly Upstream[],
  fields: Partial<PathQuery> = {},
) {
  return findPath({
    engine: layeredEngine(LAYERS),
    upstreams,
    size: {promptTokens: 700, answerTokens: 50},
    span: {from: 0, to: LAYERS},
    sourceDataCentre: undefined,
    targetDataCentre: undefined,
    loadOf: () => ({requests: 0, starts: 0, tokenLayers: 0}),
    slownessOf: () => 1,
    prefillWaitOf: () => 0,
    crossingCostFactor: 1,
    isCapacityLimited: true,
    isUsable: upstream => !upstream.isLeaving,
    canStartAt: () => true,
    ...fields,
  });
}

/** A load at which a holder of all eight layers has capacity for a request of 750 tokens in at most six of them. */
const tokenLayersById: Readonly<Record<string, number>> = {a: 133_000};

const south = {dataCentre: 'south'};

describe('a path', () => {
  const cases: ReadonlyArray<{
    name: string;
    upstreams: readonly Upstream[];
    fields?: Partial<PathQuery>;
    path: string;
  }> = [
    {
      name: 'joins ranges in the order of their layers',
      upstreams: [holder('b', 4, 8), holder('a', 0, 4)],
      path: 'a=0-4,b=4-8',
    },
    {
      name: 'uses a part of an overlapping range',
      upstreams: [holder('a', 0, 5), holder('b', 3, 8)],
      fields: {slownessOf: id => (id === 'b' ? 1.5 : 1)},
      path: 'a=0-5,b=5-8',
    },
    {
      name: 'prefers the faster kind where ranges overlap',
      upstreams: [
        holder('a', 0, 5),
        holder('b', 3, 8, {acceleratorKind: 'fast'}),
      ],
      path: 'a=0-3,b=3-8',
    },
    {
      name: 'stays in one data centre although a faster kind is elsewhere',
      upstreams: [
        holder('a', 0, 4),
        holder('b', 4, 8),
        holder('fast', 4, 8, {...south, acceleratorKind: 'fast'}),
      ],
      path: 'a=0-4,b=4-8',
    },
    {
      name: 'crosses where its data centre lacks layers',
      upstreams: [holder('a', 0, 4), holder('b', 4, 8, south)],
      path: 'a=0-4,b=4-8',
    },
    {
      name: 'excludes unusable upstreams',
      upstreams: [holder('a', 0, 8, {isLeaving: true}), holder('b', 0, 8)],
      path: 'b=0-8',
    },
    {
      name: 'avoids a full upstream',
      upstreams: [holder('a', 0, 8), holder('b', 0, 8, south)],
      fields: {
        loadOf: (id): RequestLoad => ({
          requests: 1,
          starts: 0,
          tokenLayers: id === 'a' ? 1_000_000 : 0,
        }),
      },
      path: 'b=0-8',
    },
    // Guards against requests that wait at one upstream while others are free to receive them.
    {
      name: 'starts at a slower upstream while the fastest has no slot left',
      upstreams: [
        holder('a', 0, 8, {acceleratorKind: 'fast', slots: 4}),
        holder('b', 0, 8, {slots: 4}),
      ],
      fields: {loadOf: id => loadOf({starts: id === 'a' ? 4 : 0})},
      path: 'b=0-8',
    },
    {
      name: 'uses an upstream that has no slot left in the middle, where none is needed',
      upstreams: [
        holder('a', 0, 4, {slots: 4}),
        holder('b', 4, 8, {acceleratorKind: 'fast', slots: 4}),
        holder('c', 4, 8, {slots: 4}),
      ],
      fields: {loadOf: id => loadOf({starts: id === 'b' ? 4 : 0})},
      path: 'a=0-4,b=4-8',
    },
    {
      name: 'starts where requests wait if no upstream has a slot left',
      upstreams: [holder('a', 0, 8, {slots: 4})],
      fields: {loadOf: () => loadOf({starts: 4})},
      path: 'a=0-8',
    },
    {
      name: 'goes on at an upstream without a slot, since it starts elsewhere',
      upstreams: [holder('a', 2, 4, {slots: 4})],
      fields: {
        span: {from: 2, to: 4},
        sourceDataCentre: 'data-centre',
        loadOf: () => loadOf({starts: 4}),
      },
      path: 'a=2-4',
    },
    {
      name: 'avoids a slow upstream',
      upstreams: [holder('a', 0, 8), holder('b', 0, 8)],
      fields: {slownessOf: id => (id === 'a' ? 5 : 1)},
      path: 'b=0-8',
    },
    {
      name: 'uses no upstream twice, before and after a faster one inside its range',
      upstreams: [
        holder('a', 0, 8),
        holder('b', 3, 5, {acceleratorKind: 'fast'}),
      ],
      path: 'a=0-8',
    },
    {
      name: 'uses only some layers of an upstream that has no capacity for the request in all of them',
      // 1 GB at 8,000 bytes per token and layer is 125,000 token-layers, of which 1.1 times as many may be planned.
      // The load of 133,000 leaves 4,500: the 750 tokens of the request in 6 layers.
      upstreams: [holder('a', 0, 8), holder('b', 5, 8)],
      fields: {
        loadOf: id => ({
          requests: 1,
          starts: 0,
          tokenLayers: tokenLayersById[id] ?? 0,
        }),
      },
      path: 'a=0-5,b=5-8',
    },
    {
      name: 'prefers the data centre in which the request continues',
      upstreams: [holder('a', 2, 4, south), holder('b', 2, 4)],
      fields: {
        span: {from: 2, to: 4},
        sourceDataCentre: 'north',
        targetDataCentre: 'north',
      },
      path: 'b=2-4',
    },
  ];

  it.each(cases)('$name', ({upstreams, fields, path}) => {
    const result = search(upstreams, fields);
    expect(result.kind === 'found' && formatPath(result.path)).toBe(path);
  });

  it.each([
    {
      name: 'no upstream',
      upstreams: [],
      expected: {kind: 'noLayers', layer: 0},
    },
    {
      name: 'a gap',
      upstreams: [holder('a', 0, 3), holder('b', 4, 8)],
      expected: {kind: 'noLayers', layer: 3},
    },
    {
      name: 'a crossing beyond the capacity of the link',
      upstreams: [holder('a', 0, 4), holder('b', 4, 8, south)],
      fields: {crossingCostFactor: Infinity},
      expected: {kind: 'noRoom'},
    },
    {
      name: 'a full upstream',
      upstreams: [holder('a', 0, 8)],
      fields: {
        loadOf: () => ({requests: 1, starts: 0, tokenLayers: 1_000_000}),
      },
      expected: {kind: 'noRoom'},
    },
  ])('is not found with $name', ({upstreams, fields, expected}) => {
    expect(search(upstreams, fields)).toEqual(expected);
  });

  it('covers every layer once and in order, on upstreams that hold it', () => {
    const range = fastCheck
      .tuple(fastCheck.nat(LAYERS - 1), fastCheck.integer({min: 1, max: 5}))
      .map(([from, count]) => ({from, to: Math.min(LAYERS, from + count)}));
    const fleet = fastCheck.array(
      fastCheck.tuple(range, fastCheck.constantFrom('north', 'south')),
      {maxLength: 14},
    );
    fastCheck.assert(
      fastCheck.property(fleet, entries => {
        const upstreams = entries.map(([{from, to}, dataCentre], index) =>
          holder(`u${index}`, from, to, {dataCentre}),
        );
        const result = search(upstreams);
        if (result.kind !== 'found') {
          // A path exists whenever each layer has a holder, whatever the ranges are.
          expect(result.kind).toBe('noLayers');
          return;
        }
        let layer = 0;
        const ids = new Set<string>();
        for (const {upstream, range: part} of result.path) {
          expect(part.from).toBe(layer);
          expect(upstream.layers!.from).toBeLessThanOrEqual(part.from);
          expect(upstream.layers!.to).toBeGreaterThanOrEqual(part.to);
          expect(ids.has(upstream.id)).toBe(false);
          ids.add(upstream.id);
          layer = part.to;
        }
        expect(layer).toBe(LAYERS);
        expect(countCrossings(result.path)).toBeLessThan(result.path.length);
      }),
    );
  });
});

it('a path of a service without layers is the least loaded upstream', () => {
  const engine = {...layeredEngine(LAYERS), layers: undefined};
  const result = search([makeUpstream({id: 'a'}), makeUpstream({id: 'b'})], {
    engine,
    span: {from: 0, to: 1},
    loadOf: id => ({
      requests: 1,
      starts: 0,
      tokenLayers: id === 'a' ? 5000 : 0,
    }),
  });
  expect(result.kind === 'found' && formatPath(result.path)).toBe('b=0-1');
});

describe('the load of the link between data centres', () => {
  it.each([
    {megabytes: 0, factor: 1},
    {megabytes: 100, factor: 1 / (1 - 0.4 / 0.5)},
    {megabytes: 125, factor: Infinity},
    {megabytes: 500, factor: Infinity},
  ])(
    'multiplies the cost of crossings by $factor when 2 instances transfer $megabytes MB/s each',
    ({megabytes, factor}) => {
      const clock = new FakeClock();
      const load = new LinkLoad(clock, () => 2);
      load.recordCrossing(megabytes * 1_000_000);
      expect(load.costFactor(4_000)).toBeCloseTo(factor);
      clock.advance(1_001);
      expect(load.costFactor(4_000)).toBe(1);
    },
  );
});
