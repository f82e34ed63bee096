import {describe, expect, test} from 'vitest';

import {Executed} from '../../requests/common/failure.js';
import {ExportMode, Fault, FaultKind, faultKinds} from './faultyEngine.js';
import {makeRequest, PipelineBench, upstreamName} from './pipelineBench.js';
import {finishCleanly, violationsOf} from './verdict.js';

const stages = [0, 1, 2];
const PREFILL = 0;
const DECODE = 5;
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
    [PREFILL, DECODE].flatMap(atStep =>
      [false, true].map(unfenced => ({kind, stage, atStep, unfenced})),
    ),
  ),
);

function faultAt(stage: number, kind: FaultKind, atStep: number): Fault {
  const upstream = upstreamName(stage, 0);
  return {upstream, kind, atStep, milliseconds: 8000};
}

describe('one fault at one stage, with a replacement', () => {
  test.each(faultCases)(
    '$kind at stage $stage, step $atStep, unfenced $unfenced',
    async ({kind, stage, atStep, unfenced}) => {
      const bench = new PipelineBench({
        faults: [faultAt(stage, kind, atStep)],
        unfenced: unfenced ? 'all' : [],
      });
      const run = bench.start();
      await finishCleanly(bench);
      expect(run.result?.ok).toBe(true);
      expect(run.endedAt).toBeLessThan(5000);
    },
  );
});

describe('KV export', () => {
  // 4 prompt tokens and 7 released ones; the export after 5 covers 4 + 5 - 1 positions, a stale one half.
  const exportCases: ReadonlyArray<{mode: ExportMode; recomputed: number}> = [
    {mode: 'present', recomputed: 11 - 8},
    {mode: 'stale', recomputed: 11 - 4},
    {mode: 'absent', recomputed: 11},
  ];
  test.each(exportCases)(
    '$mode: the rebuild runs $recomputed positions',
    async ({mode, recomputed}) => {
      const bench = new PipelineBench({
        faults: [faultAt(1, 'killBefore', 7)],
        exportMode: mode,
        settings: {exports: eagerExports},
      });
      const run = bench.start();
      await finishCleanly(bench);
      expect(run.result?.ok).toBe(true);
      const first = bench.ledger.find(
        entry => entry.upstream === upstreamName(1, 1),
      );
      const {from, to} = first?.positions ?? {from: 0, to: 0};
      expect(to - from).toBe(recomputed);
    },
  );
});

describe('when nothing can replace the stage', () => {
  /** The last column says whether the engines ignore epochs. */
  const cases: ReadonlyArray<
    readonly [string, Executed | 'whole', number, FaultKind, number, boolean]
  > = [
    ['dead first stage, never reached', 'no', 0, 'unreachable', PREFILL, true],
    ['first stage refuses', 'no', 0, 'refused', PREFILL, true],
    ['first stage has no room', 'no', 0, 'overloaded', PREFILL, true],
    [
      'first stage dies before it ran',
      'unknown',
      0,
      'killBefore',
      PREFILL,
      true,
    ],
    ['second stage dies at prefill', 'unknown', 1, 'killBefore', PREFILL, true],
    ['stage dies after tokens', 'unknown', 1, 'killAfter', DECODE, true],
    [
      'connection cut, engine up, fenced',
      'whole',
      1,
      'cutAfter',
      DECODE,
      false,
    ],
    [
      'connection cut, engine up, unfenced',
      'whole',
      1,
      'cutAfter',
      DECODE,
      true,
    ],
    ['frozen, fenced', 'whole', 1, 'freezeBefore', DECODE, false],
    ['frozen, unfenced', 'whole', 1, 'freezeBefore', DECODE, true],
    ['slow, unfenced', 'whole', 1, 'slow', DECODE, true],
  ];
  test.each(cases)('%s: %s', async (...row) => {
    const [, executed, stage, kind, atStep, unfenced] = row;
    const bench = new PipelineBench({
      replicas: 1,
      faults: [faultAt(stage, kind, atStep)],
      unfenced: unfenced ? 'all' : [],
      settings: {recoveryLimit: 40},
    });
    const run = bench.start();
    await finishCleanly(bench);
    const {result} = run;
    expect(result?.ok ? 'whole' : result?.error.executed).toBe(executed);
    if (result?.ok === false) {
      expect(result.error.retryAfterMilliseconds).toBeGreaterThan(0);
    }
  });
});

describe('a lost first step, with no recovery', () => {
  const cases: ReadonlyArray<{
    kind: FaultKind;
    servedBefore: boolean;
    executed: Executed;
  }> = [
    {kind: 'cutBefore', servedBefore: true, executed: 'no'},
    {kind: 'cutBefore', servedBefore: false, executed: 'unknown'},
    {kind: 'cutAfter', servedBefore: true, executed: 'unknown'},
    {kind: 'restartAfter', servedBefore: true, executed: 'unknown'},
  ];
  test.each(cases)(
    '$kind, process known before $servedBefore: $executed',
    async ({kind, servedBefore, executed}) => {
      const served = servedBefore ? 12 : 0;
      const bench = new PipelineBench({
        replicas: 1,
        faults: [faultAt(0, kind, served)],
        settings: {recoveryLimit: 0},
      });
      if (servedBefore) {
        bench.start();
        await bench.finish();
      }
      const run = bench.start();
      await finishCleanly(bench);
      expect(run.result).toMatchObject({ok: false, error: {executed}});
    },
  );
});

describe('another driver holds the request', () => {
  test.each([
    {repeatable: true, atStep: PREFILL, outcome: 'whole'},
    {repeatable: true, atStep: DECODE, outcome: 'whole'},
    {repeatable: false, atStep: PREFILL, outcome: 'unknown'},
    {repeatable: false, atStep: DECODE, outcome: 'unknown'},
  ])('repeatable $repeatable, step $atStep: $outcome', async row => {
    const faults = [faultAt(1, 'foreign', row.atStep)];
    const bench = new PipelineBench({faults});
    const {classOfWork} = makeRequest('q0', 0);
    const {repeatable} = row;
    const run = bench.start({classOfWork: {...classOfWork, repeatable}});
    await finishCleanly(bench);
    const {result} = run;
    expect(result?.ok ? 'whole' : result?.error.executed).toBe(row.outcome);
  });
});

describe('several faults', () => {
  test('two streams at once, one stage killed, one answer crossed', async () => {
    const bench = new PipelineBench({
      replicas: 3,
      faults: [
        faultAt(0, 'crossed', 7),
        faultAt(1, 'killAfter', 8),
        faultAt(2, 'twice', 9),
      ],
    });
    const runs = [bench.start(), bench.start(), bench.start()];
    await finishCleanly(bench);
    expect(runs.map(run => run.result?.ok)).toEqual([true, true, true]);
    expect(bench.metrics.counts.get('pipeline.droppedAnswers')).toBe(2);
  });

  test('a new plan on other engines frees those left behind', async () => {
    const bench = new PipelineBench({
      movesAll: true,
      faults: [faultAt(1, 'killAfter', DECODE)],
    });
    const left = bench.engines.filter(engine => engine.upstream.endsWith('0'));
    const held: string[] = [];
    const run = bench.start({}, ({delivered}) => {
      if (delivered.length === DECODE + 3) {
        held.push(...left.flatMap(engine => engine.resident));
      }
    });
    await finishCleanly(bench);
    expect(run.result?.ok).toBe(true);
    expect(held).toEqual([]);
  });

  test('an engine that took over a cache and was never stepped is freed', async () => {
    const bench = new PipelineBench({
      faults: [
        faultAt(1, 'killBefore', 7),
        {...faultAt(0, 'killBefore', 8), upstream: upstreamName(0, 0)},
        {...faultAt(0, 'killBefore', 0), upstream: upstreamName(0, 1)},
      ],
      settings: {exports: eagerExports},
    });
    const run = bench.start();
    await bench.finish();
    expect(run.result?.ok).toBe(false);
    expect(violationsOf(bench)).toEqual([]);
  });

  test('a late answer is counted and dropped', async () => {
    const bench = new PipelineBench({faults: [faultAt(1, 'late', DECODE)]});
    bench.start();
    await finishCleanly(bench);
    expect(bench.metrics.counts.get('pipeline.droppedAnswers')).toBe(1);
  });

  test('recoveries are bounded', async () => {
    const faults = Array.from({length: 50}, (_, atStep) =>
      faultAt(1, 'cutAfter', atStep),
    );
    const bench = new PipelineBench({replicas: 1, faults});
    const run = bench.start();
    await finishCleanly(bench);
    expect(run.result).toMatchObject({
      ok: false,
      error: {error: {kind: 'upstreamFailed'}, executed: 'unknown'},
    });
  });
});
