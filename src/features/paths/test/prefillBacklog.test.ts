import {describe, expect, it} from 'vitest';

import {FakeClock} from '../../../../test/support/fakeClock.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {UpstreamLoadTracker} from '../../fleet/common/upstreamLoadTracker.js';
import {makeUpstream} from '../../fleet/test/upstreams.js';
import {Path, totalTokensOf, upstreamIdsOf} from '../common/path.js';
import {findPath} from '../common/pathSearch.js';
import {PrefillBacklog} from '../common/prefillBacklog.js';
import {layeredEngine} from './engines.js';

const LAYERS = 8;
const engine = layeredEngine(LAYERS);

function holder(
  id: string,
  from: number,
  to: number,
  dataCentre = 'north',
): Upstream {
  return makeUpstream({
    id,
    dataCentre,
    slots: engine.slots,
    acceleratorKind: 'small',
    layers: {from, to},
  });
}

const a = holder('a', 0, 4);
const b = holder('b', 4, 8);
const pathOverBoth: Path = [
  {upstream: a, range: {from: 0, to: 4}},
  {upstream: b, range: {from: 4, to: 8}},
];

/** Prefill of 1,000 tokens at 200 tokens/ms, in half of the time, ten times as slow, in half of the layers. */
const PREFILL_MILLISECONDS = 50;

describe('the prefill backlog', () => {
  it.each([
    {name: 'is the prefill time of one prompt', prompts: 1, wait: 50},
    {name: 'adds up the prefill times of three prompts', prompts: 3, wait: 150},
    {name: 'falls as time passes', prompts: 3, after: 120, wait: 30},
    {
      name: 'is 0 once all prompts are processed',
      prompts: 3,
      after: 200,
      wait: 0,
    },
    {
      name: 'assumes that each peer sends as much',
      prompts: 1,
      instances: 7,
      wait: 350,
    },
    {
      name: 'grows with the slowness of an upstream',
      prompts: 1,
      slowness: 12,
      wait: 600,
    },
  ])('$name', ({prompts, instances = 1, slowness = 1, after = 0, wait}) => {
    const clock = new FakeClock();
    const backlog = new PrefillBacklog(
      clock,
      () => instances,
      () => slowness,
    );
    for (let count = 0; count < prompts; count++) {
      backlog.recordPrompt(engine, pathOverBoth, 1000, new Set());
    }
    clock.advance(after);
    expect(backlog.waitOf('a')).toBeCloseTo(wait);
    expect(backlog.waitOf('other')).toBe(0);
  });

  it('excludes upstreams that have processed the prompt', () => {
    const backlog = new PrefillBacklog(
      new FakeClock(),
      () => 1,
      () => 1,
    );
    backlog.recordPrompt(engine, pathOverBoth, 1000, new Set(['a']));
    expect(backlog.waitOf('a')).toBe(0);
    expect(backlog.waitOf('b')).toBeCloseTo(PREFILL_MILLISECONDS);
  });

  it('is dropped for upstreams that are no longer listed', () => {
    const backlog = new PrefillBacklog(
      new FakeClock(),
      () => 1,
      () => 1,
    );
    backlog.recordPrompt(engine, pathOverBoth, 1000, new Set());
    backlog.retain(id => id === 'b');
    expect(backlog.waitOf('a')).toBe(0);
    expect(backlog.waitOf('b')).toBeGreaterThan(0);
  });
});

describe('streams that are restarted after a loss', () => {
  const INSTANCES = 7;
  const STREAMS = 42;
  const size = {promptTokens: 770, answerTokens: 145};
  const upstreams = [
    a,
    b,
    holder('c', 0, 4, 'south'),
    holder('d', 4, 8, 'south'),
  ];

  /** Share of streams on the busiest upstream. Instances know their own streams and the load before the loss. */
  function shareOfBusiest(usesBacklog: boolean): number {
    const clock = new FakeClock();
    const instances = Array.from({length: INSTANCES}, () => {
      const load = new UpstreamLoadTracker();
      // The south has slightly more load.
      load.add('c', 4_000);
      load.add('d', 4_000);
      return {
        load,
        backlog: new PrefillBacklog(
          clock,
          () => INSTANCES,
          () => 1,
        ),
      };
    });
    const sent = new Map<string, number>();
    for (let stream = 0; stream < STREAMS; stream++) {
      const {backlog, load} = instances[stream % INSTANCES]!;
      const result = findPath({
        engine,
        upstreams,
        size,
        span: {from: 0, to: LAYERS},
        sourceDataCentre: undefined,
        targetDataCentre: undefined,
        loadOf: id => load.totalOf(id),
        slownessOf: () => 1,
        prefillWaitOf: id => (usesBacklog ? backlog.waitOf(id) : 0),
        crossingCostFactor: Infinity,
        isCapacityLimited: true,
        isUsable: () => true,
        canStartAt: () => true,
      });
      if (result.kind !== 'found') {
        throw new Error('no path found despite free capacity');
      }
      backlog.recordPrompt(engine, result.path, size.promptTokens, new Set());
      for (const id of upstreamIdsOf(result.path)) {
        load.add(id, totalTokensOf(size));
        sent.set(id, (sent.get(id) ?? 0) + 1);
      }
    }
    return Math.max(...sent.values()) / STREAMS;
  }

  it.each([
    {
      name: 'mostly choose the same path by capacity alone',
      usesBacklog: false,
      least: 0.8,
      most: 1,
    },
    {
      name: 'spread over both paths by the prefill backlog',
      usesBacklog: true,
      least: 0.5,
      most: 0.65,
    },
  ])('$name', ({usesBacklog, least, most}) => {
    const share = shareOfBusiest(usesBacklog);
    expect(share).toBeGreaterThanOrEqual(least);
    expect(share).toBeLessThanOrEqual(most);
  });
});
