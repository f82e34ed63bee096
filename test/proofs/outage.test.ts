import {expect, it, onTestFinished} from 'vitest';

import {EntrypointCache} from '../prove/entrypointCache.js';
import {FaultTestFixture} from '../prove/faultTestFixture.js';
import {SteadyLoad, WorkResult} from '../prove/steadyLoad.js';
import {sleep} from '../support/sleep.js';

/** During a long outage of the table, orders with grants must complete, and all responses must match the ledgers. */

/** Longer than any confirmation of an instance's standing is valid. */
const OUTAGE_MILLISECONDS = 15_000;
const ENTRYPOINTS_MAXIMUM_AGE_MILLISECONDS = 5000;
const ARRIVAL_INTERVAL_MILLISECONDS = 100;
const CALLER_TIMEOUT_MILLISECONDS = 6000;

function completedShare(
  results: readonly WorkResult[],
  hasKey: boolean,
): number {
  const selected = results.filter(({submissions}) => {
    const [first] = submissions;
    return first !== undefined && first.work.repeatable !== hasKey;
  });
  const completed = selected.filter(({isCompleted}) => isCompleted);
  return selected.length === 0 ? NaN : completed.length / selected.length;
}

it('new orders with grants and repeatable work complete during a long outage of the table', async () => {
  const fixture = await FaultTestFixture.launch();
  onTestFinished(() => fixture.dispose());
  const {client, system} = fixture;
  const seedAddresses = system.instances.map(
    ({member}) => member.callerAddress,
  );
  const entrypointCache = new EntrypointCache(
    client,
    seedAddresses,
    ENTRYPOINTS_MAXIMUM_AGE_MILLISECONDS,
  );
  await entrypointCache.current();
  await system.platform.setFault({fault: {kind: 'down'}, part: 'table'});
  const loads = [1, 0].map(
    boundKeyShare =>
      new SteadyLoad(client, entrypointCache, {
        seed: 31 + boundKeyShare,
        arrivalIntervalMilliseconds: ARRIVAL_INTERVAL_MILLISECONDS,
        retryOptions: {
          boundKeyShare,
          duplicateShare: 0,
          timeoutMilliseconds: CALLER_TIMEOUT_MILLISECONDS,
        },
      }),
  );
  await sleep(OUTAGE_MILLISECONDS);
  const [granted, plain] = await Promise.all(loads.map(load => load.stop()));
  await system.platform.setFault({fault: {kind: 'clear'}, part: 'table'});
  fixture.addSubmissions(
    [...granted!, ...plain!].flatMap(({submissions}) => submissions),
  );
  expect(fixture.violations()).toEqual([]);
  console.log(
    `outage of ${OUTAGE_MILLISECONDS} ms: completed share of orders with grants ${completedShare(granted!, true)}, with plain keys ${completedShare(plain!, true)}, of repeatable work ${completedShare(granted!, false)}; ${granted!.length} work items each`,
  );
  expect(completedShare(granted!, true)).toBe(1);
  expect(completedShare(granted!, false)).toBe(1);
});
