import {expect, it, onTestFinished} from 'vitest';

import {AddressBook} from '../prove/addressBook.js';
import {ProofBench} from '../prove/proofBench.js';
import {LoadedWork, SteadyLoad} from '../prove/steadyLoad.js';
import {sleep} from '../support/sleep.js';

/** A long outage of the table: what is served, and what is said of the rest. */

/** Longer than any confirmation of an instance's standing lasts. */
const OUTAGE_MILLISECONDS = 15_000;
const KEEP_MILLISECONDS = 5000;
const GAP_MILLISECONDS = 100;
const PATIENCE_MILLISECONDS = 6000;

function share(works: readonly LoadedWork[], keyed: boolean): number {
  const orders = works.filter(({submissions}) => {
    const [first] = submissions;
    return first !== undefined && first.work.repeatable !== keyed;
  });
  const done = orders.filter(({isDone}) => isDone);
  return orders.length === 0 ? NaN : done.length / orders.length;
}

it('new orders with grants are served through a long outage of the table', async () => {
  const bench = await ProofBench.launch();
  onTestFinished(() => bench.dispose());
  const {caller, system} = bench;
  const seeds = system.instances.map(({member}) => member.callerAddress);
  const book = new AddressBook(caller, seeds, KEEP_MILLISECONDS);
  await book.current();
  await system.platform.setFault({fault: {kind: 'down'}, part: 'table'});
  const loads = [1, 0].map(
    boundKeyShare =>
      new SteadyLoad(caller, book, {
        seed: 31 + boundKeyShare,
        gapMilliseconds: GAP_MILLISECONDS,
        follower: {
          boundKeyShare,
          duplicateShare: 0,
          patienceMilliseconds: PATIENCE_MILLISECONDS,
        },
      }),
  );
  await sleep(OUTAGE_MILLISECONDS);
  const [granted, plain] = await Promise.all(loads.map(load => load.stop()));
  await system.platform.setFault({fault: {kind: 'clear'}, part: 'table'});
  bench.add([...granted!, ...plain!].flatMap(({submissions}) => submissions));
  expect(bench.violations()).toEqual([]);
  console.log(
    `outage of ${OUTAGE_MILLISECONDS} ms: served of orders with grants ${share(granted!, true)}, with plain keys ${share(plain!, true)}, of repeatable work ${share(granted!, false)}; ${granted!.length} works each`,
  );
  expect(share(granted!, true)).toBe(1);
  expect(share(granted!, false)).toBe(1);
});
