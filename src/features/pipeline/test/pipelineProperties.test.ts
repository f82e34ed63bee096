import fc from 'fast-check';
import {describe, expect, test} from 'vitest';

import {LineageFault} from '../common/lineageChecker.js';
import {StrictSafeguards} from '../common/safeguards.js';
import {Fault, faultKinds} from './faultyEngine.js';
import {
  HarnessOptions,
  PipelineHarness,
  upstreamName,
} from './pipelineHarness.js';
import {finishWithoutViolations, violationsOf} from './ruleViolations.js';

const upstreams = [0, 1, 2].flatMap(stage =>
  [0, 1].map(replica => upstreamName(stage, replica)),
);

const fault: fc.Arbitrary<Fault> = fc.record({
  upstream: fc.constantFrom(...upstreams),
  atStep: fc.nat(30),
  kind: fc.constantFrom(...faultKinds),
  milliseconds: fc.integer({min: 100, max: 9000}),
});

const options: fc.Arbitrary<HarnessOptions> = fc.record({
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
  test('cause no rule violations', async () => {
    await fc.assert(
      fc.asyncProperty(
        options,
        fc.option(fc.nat(12), {nil: undefined}),
        fc.constantFrom(900, 4000, 20_000),
        async (harnessOptions, leavesAfter, deadlineAt) => {
          const harness = new PipelineHarness(harnessOptions);
          harness.start({deadlineAt}, run => {
            if (run.delivered.length === leavesAfter) {
              run.source.cancel('caller gone');
            }
          });
          harness.start({maximumOutputTokens: 9});
          await finishWithoutViolations(harness);
        },
      ),
      {numRuns: 300, seed: 20261202},
    );
  });
});

class UncheckedLineage extends StrictSafeguards {
  override checkReceipt(): LineageFault | undefined {
    return undefined;
  }
  override checkRelease(): LineageFault | undefined {
    return undefined;
  }
}

class UnchangedEpoch extends StrictSafeguards {
  override nextEpoch(epoch: number): number {
    return epoch;
  }
}

class UnconfirmedEntry extends StrictSafeguards {
  override canEnterEpoch(): boolean {
    return true;
  }
}

/** Takes 200 ms to read each token, so that abandoned steps resume while the reply is still being generated. */
async function runWithSlowReader(harness: PipelineHarness): Promise<void> {
  harness.start(
    {},
    () =>
      new Promise(resolve => {
        harness.clock.setTimer(200, resolve);
      }),
  );
  await harness.finish();
}

describe('disabling a safeguard', () => {
  const createFault = (kind: Fault['kind'], atStep: number): Fault => ({
    upstream: upstreamName(1, 0),
    atStep,
    kind,
    milliseconds: 1500,
  });
  const cases = [
    {
      name: 'unchecked lineage and a crossed response',
      safeguards: new UncheckedLineage(),
      faults: [createFault('crossed', 4)],
    },
    {
      name: 'unchecked lineage and a duplicated response',
      safeguards: new UncheckedLineage(),
      faults: [{...createFault('twice', 4), upstream: upstreamName(2, 0)}],
    },
    {
      name: 'unchecked lineage and a response of an older epoch',
      safeguards: new UncheckedLineage(),
      faults: [createFault('oldEpoch', 4)],
    },
    {
      name: 'unchanged epoch',
      safeguards: new UnchangedEpoch(),
      faults: [createFault('cutAfter', 4)],
    },
    {
      name: 'engine re-entered without confirmation',
      safeguards: new UnconfirmedEntry(),
      faults: [createFault('slow', 4)],
    },
  ];
  test.each(cases)(
    'causes rule violations: $name',
    async ({safeguards, faults}) => {
      const setUp: HarnessOptions = {replicas: 1, unfenced: 'all', faults};
      const mutated = new PipelineHarness({...setUp, safeguards});
      await runWithSlowReader(mutated);
      expect(violationsOf(mutated)).not.toEqual([]);

      const strict = new PipelineHarness(setUp);
      await runWithSlowReader(strict);
      expect(violationsOf(strict)).toEqual([]);
    },
  );
});
