import {afterAll, beforeAll, beforeEach, expect, it} from 'vitest';

import {
  checkLeavingGetsNothing,
  lastArrivalDelay,
  LEAVING_GRACE_MILLISECONDS,
} from '../prove/checks/leavingGetsNothing.js';
import {EntrypointCache} from '../prove/entrypointCache.js';
import {FaultTestFixture} from '../prove/faultTestFixture.js';
import {SteadyLoad} from '../prove/steadyLoad.js';
import {sleep} from '../support/sleep.js';

/** New work for a leaving upstream must end even when the membership list shows its state late. */

const LIST_LAG_MILLISECONDS = 1000;
const ARRIVAL_INTERVAL_MILLISECONDS = 25;
const LEAVING_BOUND_MILLISECONDS =
  LIST_LAG_MILLISECONDS + LEAVING_GRACE_MILLISECONDS;

let fixture: FaultTestFixture;

beforeAll(async () => {
  fixture = await FaultTestFixture.launch();
});

afterAll(() => fixture?.dispose());

beforeEach(() => fixture.startCase());

it.each(['engine-0-0', 'stock-0'])(
  'a leaving upstream %s gets nothing new',
  async id => {
    const seed =
      21 +
      fixture.system.engines.findIndex(({id: engineId}) => engineId === id);
    const {client, ledgers, system} = fixture;
    const upstreams = [...system.engines, ...system.services];
    const {member} = upstreams.find(upstream => upstream.id === id)!;
    const seedAddresses = system.instances.map(
      instance => instance.member.callerAddress,
    );
    const entrypointCache = new EntrypointCache(
      client,
      seedAddresses,
      LEAVING_BOUND_MILLISECONDS,
    );
    const load = new SteadyLoad(client, entrypointCache, {
      seed,
      arrivalIntervalMilliseconds: ARRIVAL_INTERVAL_MILLISECONDS,
    });
    await system.waitUntil('the upstream is in use', async () => {
      ledgers.readNewEntries();
      return ledgers.index.arrivalTimesAt(id).length > 0;
    });
    const from = Date.now();
    await system.platform.setMembers({
      set: [{...member, state: 'leaving'}],
      lagMilliseconds: LIST_LAG_MILLISECONDS,
    });
    await sleep(2 * LEAVING_BOUND_MILLISECONDS);
    const results = await load.stop();
    const to = Date.now();
    await system.platform.setMembers({set: [member], lagMilliseconds: 0});
    fixture.addSubmissions(results.flatMap(({submissions}) => submissions));
    expect(fixture.violations()).toEqual([]);
    const lagMilliseconds = LIST_LAG_MILLISECONDS;
    const window = {upstream: id, from, to, lagMilliseconds};
    expect(checkLeavingGetsNothing([window], ledgers.index)).toEqual([]);
    expect(results.filter(({isCompleted}) => !isCompleted)).toEqual([]);
    const lastDelay = lastArrivalDelay(window, ledgers.index);
    console.log(
      `${id}: last new work ${lastDelay} ms after the notice, list lag ${LIST_LAG_MILLISECONDS} ms, ${results.length} work items`,
    );
  },
);
