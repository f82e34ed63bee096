import {describe, expect, test} from 'vitest';

import {STEP_MILLISECONDS} from './faultyEngine.js';
import {PipelineBench, upstreamName} from './pipelineBench.js';
import {finishCleanly} from './verdict.js';

describe('whole replies', () => {
  const cases = [
    {name: 'ends by itself', maximumOutputTokens: 40, finishReason: 'stop'},
    {
      name: 'ends at the maximum',
      maximumOutputTokens: 7,
      finishReason: 'length',
    },
    {name: 'one token', maximumOutputTokens: 1, finishReason: 'length'},
  ];
  test.each(cases)('$name', async ({maximumOutputTokens, finishReason}) => {
    const bench = new PipelineBench();
    const run = bench.start({maximumOutputTokens});
    await finishCleanly(bench);
    expect(run.result).toMatchObject({ok: true, value: {finishReason}});
    expect(bench.broker.observations).toHaveLength(3);
    expect(bench.logger.decisions).toHaveLength(1);
  });

  test('a slow reader holds the next step back', async () => {
    const bench = new PipelineBench();
    let release = (): void => undefined;
    const run = bench.start({}, ({delivered}) =>
      delivered.length === 3
        ? new Promise<void>(resolve => {
            release = resolve;
          })
        : undefined,
    );
    await bench.clock.advanceAsync(5000);
    expect(run.delivered).toHaveLength(3);
    expect(bench.ledger).toHaveLength(9);
    release();
    await finishCleanly(bench);
    expect(run.result?.ok).toBe(true);
  });

  test('waits for a start that lies ahead, a little less than predicted', async () => {
    const bench = new PipelineBench({startsInMilliseconds: 400});
    bench.start();
    await bench.clock.advanceAsync(300 + STEP_MILLISECONDS - 1);
    expect(bench.ledger).toHaveLength(0);
    await bench.clock.advanceAsync(1);
    expect(bench.ledger).toHaveLength(1);
    await bench.finish();
  });

  test.each([
    {replicas: 2, ok: true, upstreams: ['stage0-1', 'stage1-0', 'stage2-0']},
    {replicas: 1, ok: false, upstreams: []},
  ])(
    'sends nothing to an upstream that began to leave while the start was awaited, of $replicas',
    async ({replicas, ok, upstreams}) => {
      const bench = new PipelineBench({replicas, startsInMilliseconds: 4000});
      const run = bench.start();
      await bench.clock.advanceAsync(1000);
      bench.leaving.add('stage0-0');
      await finishCleanly(bench);
      const used = new Set(bench.ledger.map(({upstream}) => upstream));
      expect([...used]).toEqual(upstreams);
      expect(run.result?.ok).toBe(ok);
      expect(bench.broker.held.size).toBe(0);
      if (!ok) {
        expect(run.result).toMatchObject({error: {executed: 'no'}});
      }
    },
  );

  test('tells once that probing stages answered, with the first token', async () => {
    const bench = new PipelineBench({probing: true});
    const run = bench.start();
    while (run.delivered.length === 0) {
      await bench.clock.advanceAsync(1);
    }
    expect(bench.broker.failures.map(one => one.outcome)).toEqual(
      Array(3).fill('completed'),
    );
    await bench.finish();
    expect(bench.broker.failures).toHaveLength(3);
  });

  test('learns the length of replies', async () => {
    const bench = new PipelineBench();
    for (let index = 0; index < 10; index++) {
      bench.start();
      await bench.finish();
    }
    const asked = bench.broker.works.map(work => work.outputTokens);
    expect(asked[0]).toBe(40);
    expect(asked[9]).toBeLessThan(30);
  });
});

describe('ends before the reply is whole', () => {
  test('caller gone while tokens flow', async () => {
    const bench = new PipelineBench();
    const run = bench.start({}, ({delivered, source}) => {
      if (delivered.length === 4) {
        source.cancel('caller gone');
      }
    });
    await finishCleanly(bench);
    expect(run.result).toMatchObject({
      ok: false,
      error: {error: {kind: 'callerGone'}, executed: 'yes'},
    });
    expect(run.delivered).toHaveLength(4);
  });

  const frozen = {
    atStep: 0,
    kind: 'freezeBefore',
    milliseconds: 9000,
  } as const;
  const frozenSecond = {...frozen, upstream: upstreamName(1, 0)};

  test.each([
    {
      name: 'capacity is asked for',
      options: {brokerMilliseconds: 300},
      leavesAt: 100,
      executed: 'no',
      ended: {least: 0, most: Number.POSITIVE_INFINITY},
    },
    {
      name: 'waiting for the start',
      options: {startsInMilliseconds: 4000},
      leavesAt: 100,
      executed: 'no',
      ended: {least: 100, most: 100},
    },
    {
      name: 'a frozen stage holds the step',
      options: {faults: [frozenSecond]},
      leavesAt: 50,
      executed: 'unknown',
      ended: {least: 0, most: 150},
    },
  ])('caller gone while $name', async row => {
    const bench = new PipelineBench(row.options);
    const run = bench.start();
    await bench.clock.advanceAsync(row.leavesAt);
    run.source.cancel('caller gone');
    await finishCleanly(bench);
    const {executed} = row;
    expect(run.result).toMatchObject({ok: false, error: {executed}});
    expect(run.endedAt).toBeGreaterThanOrEqual(row.ended.least);
    expect(run.endedAt).toBeLessThanOrEqual(row.ended.most);
  });

  test('the deadline passes in the middle', async () => {
    const fault = {...frozen, upstream: upstreamName(2, 0), atStep: 3};
    const bench = new PipelineBench({faults: [fault], unfenced: 'all'});
    const run = bench.start({deadlineAt: 300});
    await finishCleanly(bench);
    expect(run.result).toMatchObject({
      ok: false,
      error: {
        error: {kind: 'deadlineExceeded'},
        executed: 'unknown',
        retryAfterMilliseconds: 1000,
      },
    });
    expect(run.endedAt).toBeLessThanOrEqual(400);
  });

  test('a deadline already past runs nothing', async () => {
    const bench = new PipelineBench();
    const run = bench.start({deadlineAt: -1});
    await bench.finish();
    expect(run.result).toMatchObject({ok: false, error: {executed: 'no'}});
    expect(bench.ledger).toEqual([]);
  });

  test.each([
    {overrides: {promptTokens: []}, path: '$.messages'},
    {overrides: {maximumOutputTokens: 0}, path: '$.max_tokens'},
  ])('refuses $path', async ({overrides, path}) => {
    const bench = new PipelineBench();
    const run = bench.start(overrides);
    await bench.finish();
    expect(run.result).toMatchObject({
      ok: false,
      error: {error: {findings: [{path}]}, executed: 'no'},
    });
  });
});
