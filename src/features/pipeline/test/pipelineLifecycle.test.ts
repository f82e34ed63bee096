import {describe, expect, test} from 'vitest';

import {STEP_MILLISECONDS} from './faultyEngine.js';
import {PipelineHarness, upstreamName} from './pipelineHarness.js';
import {finishWithoutViolations} from './ruleViolations.js';

describe('complete replies', () => {
  const cases = [
    {name: 'end of text', maximumOutputTokens: 40, finishReason: 'stop'},
    {
      name: 'maximum number of tokens',
      maximumOutputTokens: 7,
      finishReason: 'length',
    },
    {
      name: 'maximum of one token',
      maximumOutputTokens: 1,
      finishReason: 'length',
    },
  ];
  test.each(cases)(
    'a reply ends at the $name',
    async ({maximumOutputTokens, finishReason}) => {
      const harness = new PipelineHarness();
      const run = harness.start({maximumOutputTokens});
      await finishWithoutViolations(harness);
      expect(run.result).toMatchObject({ok: true, value: {finishReason}});
      expect(harness.broker.observations).toHaveLength(3);
      expect(harness.logger.decisions).toHaveLength(1);
    },
  );

  test('the next step waits for a slow reader', async () => {
    const harness = new PipelineHarness();
    let release = (): void => undefined;
    const run = harness.start({}, ({delivered}) =>
      delivered.length === 3
        ? new Promise<void>(resolve => {
            release = resolve;
          })
        : undefined,
    );
    await harness.clock.advanceAsync(5000);
    expect(run.delivered).toHaveLength(3);
    expect(harness.executedSteps).toHaveLength(9);
    release();
    await finishWithoutViolations(harness);
    expect(run.result?.ok).toBe(true);
  });

  test('the first step is sent shortly before a predicted start in the future', async () => {
    const harness = new PipelineHarness({startsInMilliseconds: 400});
    harness.start();
    await harness.clock.advanceAsync(300 + STEP_MILLISECONDS - 1);
    expect(harness.executedSteps).toHaveLength(0);
    await harness.clock.advanceAsync(1);
    expect(harness.executedSteps).toHaveLength(1);
    await harness.finish();
  });

  test.each([
    {replicas: 2, ok: true, upstreams: ['stage0-1', 'stage1-0', 'stage2-0']},
    {replicas: 1, ok: false, upstreams: []},
  ])(
    'nothing is sent to an upstream that starts leaving during the wait for the start, with $replicas replicas',
    async ({replicas, ok, upstreams}) => {
      const harness = new PipelineHarness({
        replicas,
        startsInMilliseconds: 4000,
      });
      const run = harness.start();
      await harness.clock.advanceAsync(1000);
      harness.leaving.add('stage0-0');
      await finishWithoutViolations(harness);
      const used = new Set(harness.executedSteps.map(({upstream}) => upstream));
      expect([...used]).toEqual(upstreams);
      expect(run.result?.ok).toBe(ok);
      expect(harness.broker.held.size).toBe(0);
      if (!ok) {
        expect(run.result).toMatchObject({error: {executed: 'no'}});
      }
    },
  );

  test('responses of probing stages are reported once, with the first token', async () => {
    const harness = new PipelineHarness({probing: true});
    const run = harness.start();
    while (run.delivered.length === 0) {
      await harness.clock.advanceAsync(1);
    }
    expect(
      harness.broker.failures.map(observation => observation.outcome),
    ).toEqual(Array(3).fill('completed'));
    await harness.finish();
    expect(harness.broker.failures).toHaveLength(3);
  });

  test('estimates of the reply length are learned from completed replies', async () => {
    const harness = new PipelineHarness();
    for (let index = 0; index < 10; index++) {
      harness.start();
      await harness.finish();
    }
    const estimates = harness.broker.estimates.map(work => work.outputTokens);
    expect(estimates[0]).toBe(40);
    expect(estimates[9]).toBeLessThan(30);
  });
});

describe('runs that end before the reply is complete', () => {
  test('a caller that disconnects during generation gets executed yes', async () => {
    const harness = new PipelineHarness();
    const run = harness.start({}, ({delivered, source}) => {
      if (delivered.length === 4) {
        source.cancel('caller gone');
      }
    });
    await finishWithoutViolations(harness);
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
      name: 'capacity is requested',
      options: {brokerMilliseconds: 300},
      leavesAt: 100,
      executed: 'no',
      ended: {least: 0, most: Number.POSITIVE_INFINITY},
    },
    {
      name: 'the run waits for its start',
      options: {startsInMilliseconds: 4000},
      leavesAt: 100,
      executed: 'no',
      ended: {least: 100, most: 100},
    },
    {
      name: 'a step waits for a frozen stage',
      options: {faults: [frozenSecond]},
      leavesAt: 50,
      executed: 'unknown',
      ended: {least: 0, most: 150},
    },
  ])(
    'a caller that disconnects while $name gets executed $executed',
    async row => {
      const harness = new PipelineHarness(row.options);
      const run = harness.start();
      await harness.clock.advanceAsync(row.leavesAt);
      run.source.cancel('caller gone');
      await finishWithoutViolations(harness);
      const {executed} = row;
      expect(run.result).toMatchObject({ok: false, error: {executed}});
      expect(run.endedAt).toBeGreaterThanOrEqual(row.ended.least);
      expect(run.endedAt).toBeLessThanOrEqual(row.ended.most);
    },
  );

  test('a run fails when its deadline passes during generation', async () => {
    const fault = {...frozen, upstream: upstreamName(2, 0), atStep: 3};
    const harness = new PipelineHarness({faults: [fault], unfenced: 'all'});
    const run = harness.start({deadlineAt: 300});
    await finishWithoutViolations(harness);
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

  test('a request whose deadline has already passed runs nothing', async () => {
    const harness = new PipelineHarness();
    const run = harness.start({deadlineAt: -1});
    await harness.finish();
    expect(run.result).toMatchObject({ok: false, error: {executed: 'no'}});
    expect(harness.executedSteps).toEqual([]);
  });

  test.each([
    {overrides: {promptTokens: []}, path: '$.messages'},
    {overrides: {maximumOutputTokens: 0}, path: '$.max_tokens'},
  ])(
    'a request with an invalid $path is refused',
    async ({overrides, path}) => {
      const harness = new PipelineHarness();
      const run = harness.start(overrides);
      await harness.finish();
      expect(run.result).toMatchObject({
        ok: false,
        error: {error: {findings: [{path}]}, executed: 'no'},
      });
    },
  );
});
