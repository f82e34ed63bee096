import fc from 'fast-check';
import {describe, expect, test} from 'vitest';

import {LineageFault} from '../common/lineageChecker.js';
import {StrictSafeguards} from '../common/safeguards.js';
import {Fault, faultKinds} from './faultyEngine.js';
import {BenchOptions, PipelineBench, upstreamName} from './pipelineBench.js';
import {finishCleanly, violationsOf} from './verdict.js';

const upstreams = [0, 1, 2].flatMap(stage =>
  [0, 1].map(replica => upstreamName(stage, replica)),
);

const fault: fc.Arbitrary<Fault> = fc.record({
  upstream: fc.constantFrom(...upstreams),
  atStep: fc.nat(30),
  kind: fc.constantFrom(...faultKinds),
  milliseconds: fc.integer({min: 100, max: 9000}),
});

const options: fc.Arbitrary<BenchOptions> = fc.record({
  faults: fc.array(fault, {maxLength: 8}),
  replicas: fc.constantFrom(1, 2),
  unfenced: fc.subarray(upstreams),
  exportMode: fc.constantFrom('present', 'stale', 'absent'),
  settings: fc.constant({
    exports: {
      everyTokens: 4,
      minimumContextTokens: 1,
      minimumRemainingTokens: 1,
    },
  }),
});

describe('random faults', () => {
  test('never break a lineage, a reply or a statement', async () => {
    await fc.assert(
      fc.asyncProperty(
        options,
        fc.option(fc.nat(12), {nil: undefined}),
        fc.constantFrom(900, 4000, 20_000),
        async (benchOptions, leavesAfter, deadlineAt) => {
          const bench = new PipelineBench(benchOptions);
          bench.start({deadlineAt}, run => {
            if (run.delivered.length === leavesAfter) {
              run.source.cancel('caller gone');
            }
          });
          bench.start({maximumOutputTokens: 9});
          await finishCleanly(bench);
        },
      ),
      {numRuns: 300, seed: 20261202},
    );
  });
});

class NoLineage extends StrictSafeguards {
  override checkReceipt(): LineageFault | undefined {
    return undefined;
  }
  override checkRelease(): LineageFault | undefined {
    return undefined;
  }
}

class SameEpoch extends StrictSafeguards {
  override nextEpoch(epoch: number): number {
    return epoch;
  }
}

class UnconfirmedEntry extends StrictSafeguards {
  override mayEnter(): boolean {
    return true;
  }
}

/** The reader takes 200 ms for a token, so that old steps wake while the reply goes on. */
async function runSlowly(bench: PipelineBench): Promise<void> {
  bench.start(
    {},
    () =>
      new Promise(resolve => {
        bench.clock.setTimer(200, resolve);
      }),
  );
  await bench.finish();
}

describe('without a safeguard the ledger shows the violation', () => {
  const at = (kind: Fault['kind'], atStep: number): Fault => ({
    upstream: upstreamName(1, 0),
    atStep,
    kind,
    milliseconds: 1500,
  });
  const cases = [
    {
      name: 'lineage not checked: crossed',
      safeguards: new NoLineage(),
      faults: [at('crossed', 4)],
    },
    {
      name: 'lineage not checked: twice',
      safeguards: new NoLineage(),
      faults: [{...at('twice', 4), upstream: upstreamName(2, 0)}],
    },
    {
      name: 'lineage not checked: older epoch',
      safeguards: new NoLineage(),
      faults: [at('oldEpoch', 4)],
    },
    {
      name: 'epoch not raised',
      safeguards: new SameEpoch(),
      faults: [at('cutAfter', 4)],
    },
    {
      name: 'entered again unconfirmed',
      safeguards: new UnconfirmedEntry(),
      faults: [at('slow', 4)],
    },
  ];
  test.each(cases)('$name', async ({safeguards, faults}) => {
    const setUp: BenchOptions = {replicas: 1, unfenced: 'all', faults};
    const mutated = new PipelineBench({...setUp, safeguards});
    await runSlowly(mutated);
    expect(violationsOf(mutated)).not.toEqual([]);

    const strict = new PipelineBench(setUp);
    await runSlowly(strict);
    expect(violationsOf(strict)).toEqual([]);
  });
});
