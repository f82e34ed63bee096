import {describe, expect, test} from 'vitest';

import {ExecutionStatus} from '../../requests/common/failure.js';
import {ExportMode, Fault, FaultKind, faultKinds} from './faultyEngine.js';
import {makeRequest, PipelineHarness, upstreamName} from './pipelineHarness.js';
import {finishWithoutViolations, violationsOf} from './ruleViolations.js';

const stages = [0, 1, 2];
const PREFILL_STEP = 0;
const DECODE_STEP = 5;
const eagerExports = {
  everyTokens: 5,
  minimumContextTokens: 1,
  minimumRemainingTokens: 1,
};

interface FaultCase {
  readonly kind: FaultKind;
  readonly stage: number;
  readonly atStep: number;
  readonly unfenced: boolean;
}

const faultCases: readonly FaultCase[] = faultKinds.flatMap(kind =>
  stages.flatMap(stage =>
    [PREFILL_STEP, DECODE_STEP].flatMap(atStep =>
      [false, true].map(unfenced => ({kind, stage, atStep, unfenced})),
    ),
  ),
);

function faultAt(stage: number, kind: FaultKind, atStep: number): Fault {
  const upstream = upstreamName(stage, 0);
  return {upstream, kind, atStep, milliseconds: 8000};
}

describe('a request with one fault at one stage and a replacement engine', () => {
  test.each(faultCases)(
    'completes without violations: $kind at stage $stage, step $atStep, unfenced $unfenced',
    async ({kind, stage, atStep, unfenced}) => {
      const harness = new PipelineHarness({
        faults: [faultAt(stage, kind, atStep)],
        unfenced: unfenced ? 'all' : [],
      });
      const run = harness.start();
      await finishWithoutViolations(harness);
      expect(run.result?.ok).toBe(true);
      expect(run.endedAt).toBeLessThan(5000);
    },
  );
});

describe('recovery from a KV cache export', () => {
  // With 4 prompt and 7 released tokens, the export after 5 tokens covers 4 + 5 - 1 positions and a stale one half.
  const exportCases: ReadonlyArray<{mode: ExportMode; recomputed: number}> = [
    {mode: 'present', recomputed: 11 - 8},
    {mode: 'stale', recomputed: 11 - 4},
    {mode: 'absent', recomputed: 11},
  ];
  test.each(exportCases)(
    'recomputes $recomputed positions if the export is $mode',
    async ({mode, recomputed}) => {
      const harness = new PipelineHarness({
        faults: [faultAt(1, 'killBefore', 7)],
        exportMode: mode,
        settings: {exports: eagerExports},
      });
      const run = harness.start();
      await finishWithoutViolations(harness);
      expect(run.result?.ok).toBe(true);
      const first = harness.executedSteps.find(
        entry => entry.upstream === upstreamName(1, 1),
      );
      const {from, to} = first?.positions ?? {from: 0, to: 0};
      expect(to - from).toBe(recomputed);
    },
  );
});

describe('a request with a failed stage that has no replacement', () => {
  /** The last column states whether the engines are unfenced. */
  const cases: ReadonlyArray<
    readonly [
      string,
      ExecutionStatus | 'complete',
      number,
      FaultKind,
      number,
      boolean,
    ]
  > = [
    ['first stage unreachable', 'no', 0, 'unreachable', PREFILL_STEP, true],
    ['first stage refuses', 'no', 0, 'refused', PREFILL_STEP, true],
    ['first stage is overloaded', 'no', 0, 'overloaded', PREFILL_STEP, true],
    [
      'first stage dies before it runs',
      'unknown',
      0,
      'killBefore',
      PREFILL_STEP,
      true,
    ],
    [
      'second stage dies during prefill',
      'unknown',
      1,
      'killBefore',
      PREFILL_STEP,
      true,
    ],
    [
      'stage dies after tokens were released',
      'unknown',
      1,
      'killAfter',
      DECODE_STEP,
      true,
    ],
    [
      'connection lost, engine alive, fenced',
      'complete',
      1,
      'cutAfter',
      DECODE_STEP,
      false,
    ],
    [
      'connection lost, engine alive, unfenced',
      'complete',
      1,
      'cutAfter',
      DECODE_STEP,
      true,
    ],
    ['stage frozen, fenced', 'complete', 1, 'freezeBefore', DECODE_STEP, false],
    [
      'stage frozen, unfenced',
      'complete',
      1,
      'freezeBefore',
      DECODE_STEP,
      true,
    ],
    ['stage slow, unfenced', 'complete', 1, 'slow', DECODE_STEP, true],
  ];
  test.each(cases)('%s: ends with %s', async (...row) => {
    const [, executed, stage, kind, atStep, unfenced] = row;
    const harness = new PipelineHarness({
      replicas: 1,
      faults: [faultAt(stage, kind, atStep)],
      unfenced: unfenced ? 'all' : [],
      settings: {recoveryLimit: 40},
    });
    const run = harness.start();
    await finishWithoutViolations(harness);
    const {result} = run;
    expect(result?.ok ? 'complete' : result?.error.executed).toBe(executed);
    if (result?.ok === false) {
      expect(result.error.retryAfterMilliseconds).toBeGreaterThan(0);
    }
  });
});

describe('a lost first step without recovery', () => {
  const cases: ReadonlyArray<{
    kind: FaultKind;
    servedBefore: boolean;
    executed: ExecutionStatus;
  }> = [
    {kind: 'cutBefore', servedBefore: true, executed: 'no'},
    {kind: 'cutBefore', servedBefore: false, executed: 'unknown'},
    {kind: 'cutAfter', servedBefore: true, executed: 'unknown'},
    {kind: 'restartAfter', servedBefore: true, executed: 'unknown'},
  ];
  test.each(cases)(
    'reports executed $executed after $kind if the engine process was known before: $servedBefore',
    async ({kind, servedBefore, executed}) => {
      const served = servedBefore ? 12 : 0;
      const harness = new PipelineHarness({
        replicas: 1,
        faults: [faultAt(0, kind, served)],
        settings: {recoveryLimit: 0},
      });
      if (servedBefore) {
        harness.start();
        await harness.finish();
      }
      const run = harness.start();
      await finishWithoutViolations(harness);
      expect(run.result).toMatchObject({ok: false, error: {executed}});
    },
  );
});

describe('a request under which engines end', () => {
  const cases: ReadonlyArray<{kind: FaultKind; atStep: number}> = [
    {kind: 'killBefore', atStep: PREFILL_STEP},
    {kind: 'killAfter', atStep: PREFILL_STEP},
    {kind: 'killAfter', atStep: 1},
    {kind: 'freezeAfter', atStep: PREFILL_STEP},
  ];
  test.each(cases)(
    'is given up after three have ended: each $kind at step $atStep',
    async ({kind, atStep}) => {
      const replicas = 8;
      const faults = [...Array(replicas).keys()].map(replica => ({
        upstream: upstreamName(0, replica),
        kind,
        atStep,
        milliseconds: 60_000,
      }));
      const harness = new PipelineHarness({replicas, faults});
      const run = harness.start();
      await finishWithoutViolations(harness);
      const reached = harness.engines.filter(
        engine => engine.upstream.startsWith('stage0-') && engine.wasReached,
      );
      expect(reached.length).toBe(3);
      expect(run.result?.ok).toBe(false);
    },
  );
});

describe('a request that another driver also runs', () => {
  test.each([
    {repeatable: true, atStep: PREFILL_STEP, outcome: 'complete'},
    {repeatable: true, atStep: DECODE_STEP, outcome: 'complete'},
    {repeatable: false, atStep: PREFILL_STEP, outcome: 'unknown'},
    {repeatable: false, atStep: DECODE_STEP, outcome: 'unknown'},
  ])(
    'ends with $outcome if repeatable is $repeatable and the foreign epoch appears at step $atStep',
    async row => {
      const faults = [faultAt(1, 'foreign', row.atStep)];
      const harness = new PipelineHarness({faults});
      const {classOfWork} = makeRequest('q0', 0);
      const {repeatable} = row;
      const run = harness.start({classOfWork: {...classOfWork, repeatable}});
      await finishWithoutViolations(harness);
      const {result} = run;
      expect(result?.ok ? 'complete' : result?.error.executed).toBe(
        row.outcome,
      );
    },
  );
});

describe('several faults and cleanup', () => {
  test('three concurrent requests complete with one stage killed, one response crossed and one duplicated', async () => {
    const harness = new PipelineHarness({
      replicas: 3,
      faults: [
        faultAt(0, 'crossed', 7),
        faultAt(1, 'killAfter', 8),
        faultAt(2, 'twice', 9),
      ],
    });
    const runs = [harness.start(), harness.start(), harness.start()];
    await finishWithoutViolations(harness);
    expect(runs.map(run => run.result?.ok)).toEqual([true, true, true]);
    expect(harness.metrics.counts.get('pipeline.droppedAnswers')).toBe(2);
  });

  test('a new plan on other engines frees the replaced engines', async () => {
    const harness = new PipelineHarness({
      prefersOtherEngines: true,
      faults: [faultAt(1, 'killAfter', DECODE_STEP)],
    });
    const replacedEngines = harness.engines.filter(engine =>
      engine.upstream.endsWith('0'),
    );
    const held: string[] = [];
    const run = harness.start({}, ({delivered}) => {
      if (delivered.length === DECODE_STEP + 3) {
        held.push(...replacedEngines.flatMap(engine => engine.resident));
      }
    });
    await finishWithoutViolations(harness);
    expect(run.result?.ok).toBe(true);
    expect(held).toEqual([]);
  });

  test('an engine that imported a cache and never ran a step is freed', async () => {
    const harness = new PipelineHarness({
      faults: [
        faultAt(1, 'killBefore', 7),
        {...faultAt(0, 'killBefore', 8), upstream: upstreamName(0, 0)},
        {...faultAt(0, 'killBefore', 0), upstream: upstreamName(0, 1)},
      ],
      settings: {exports: eagerExports},
    });
    const run = harness.start();
    await harness.finish();
    expect(run.result?.ok).toBe(false);
    expect(violationsOf(harness)).toEqual([]);
  });

  test('a late response is counted and dropped', async () => {
    const harness = new PipelineHarness({
      faults: [faultAt(1, 'late', DECODE_STEP)],
    });
    harness.start();
    await finishWithoutViolations(harness);
    expect(harness.metrics.counts.get('pipeline.droppedAnswers')).toBe(1);
  });

  test('a request fails once the recovery limit is exceeded', async () => {
    const faults = Array.from({length: 50}, (_, atStep) =>
      faultAt(1, 'cutAfter', atStep),
    );
    const harness = new PipelineHarness({replicas: 1, faults});
    const run = harness.start();
    await finishWithoutViolations(harness);
    expect(run.result).toMatchObject({
      ok: false,
      error: {error: {kind: 'upstreamFailed'}, executed: 'unknown'},
    });
  });
});
