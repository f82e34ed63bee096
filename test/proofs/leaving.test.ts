import {afterAll, beforeAll, beforeEach, expect, it} from 'vitest';

import {AddressBook} from '../prove/addressBook.js';
import {
  checkLeavingGetsNothing,
  lastArrivalAfter,
  LEAVING_GRACE_MILLISECONDS,
} from '../prove/checks/leavingGetsNothing.js';
import {ProofBench} from '../prove/proofBench.js';
import {SteadyLoad} from '../prove/steadyLoad.js';
import {sleep} from '../support/sleep.js';

/** Upstreams that leave, with a list that lags. */

const LAG_MILLISECONDS = 1000;
const GAP_MILLISECONDS = 25;
const WATCHED_MILLISECONDS = LAG_MILLISECONDS + LEAVING_GRACE_MILLISECONDS;

let bench: ProofBench;

beforeAll(async () => {
  bench = await ProofBench.launch();
});

afterAll(() => bench?.dispose());

beforeEach(() => bench.startCase());

it.each(['engine-0-0', 'stock-0'])(
  'a leaving upstream %s gets nothing new',
  async id => {
    const seed = 21 + bench.system.engines.findIndex(({id: own}) => own === id);
    const {caller, ledgers, system} = bench;
    const upstreams = [...system.engines, ...system.services];
    const {member} = upstreams.find(upstream => upstream.id === id)!;
    const seeds = system.instances.map(
      instance => instance.member.callerAddress,
    );
    const book = new AddressBook(caller, seeds, WATCHED_MILLISECONDS);
    const load = new SteadyLoad(caller, book, {
      seed,
      gapMilliseconds: GAP_MILLISECONDS,
    });
    await system.until('the upstream is in use', async () => {
      ledgers.readOn();
      return ledgers.index.arrivalsAt(id).length > 0;
    });
    const from = Date.now();
    await system.platform.setMembers({
      set: [{...member, state: 'leaving'}],
      lagMilliseconds: LAG_MILLISECONDS,
    });
    await sleep(2 * WATCHED_MILLISECONDS);
    const loaded = await load.stop();
    const to = Date.now();
    await system.platform.setMembers({set: [member], lagMilliseconds: 0});
    bench.add(loaded.flatMap(({submissions}) => submissions));
    expect(bench.violations()).toEqual([]);
    const lagMilliseconds = LAG_MILLISECONDS;
    const window = {upstream: id, from, to, lagMilliseconds};
    expect(checkLeavingGetsNothing([window], ledgers.index)).toEqual([]);
    expect(loaded.filter(({isDone}) => !isDone)).toEqual([]);
    const last = lastArrivalAfter(window, ledgers.index);
    console.log(
      `${id}: last new work ${last} ms after the notice, list lag ${LAG_MILLISECONDS} ms, ${loaded.length} works`,
    );
  },
);
