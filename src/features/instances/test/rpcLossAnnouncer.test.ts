import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {freeAddresses} from '../../../../test/support/ports.js';
import {DisposableStore} from '../../../base/common/lifecycle.js';
import {MemoryBudget} from '../../../base/common/memoryBudget.js';
import {SystemClock} from '../../../base/node/systemClock.js';
import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {serveRpc} from '../../../infrastructure/rpc/node/rpc.js';
import {chooseLossCollector} from '../../crashes/common/lossAnnouncer.js';
import {RequestLosses} from '../../crashes/common/requestLosses.js';
import {EndedUpstreams} from '../../fleet/common/endedUpstreams.js';
import {SuspicionTracker} from '../../fleet/common/suspicionTracker.js';
import {InstanceRecord} from '../common/instance.js';
import {createGossipRouter} from '../node/gossipRouter.js';
import {RpcLossAnnouncer} from '../node/rpcLossAnnouncer.js';

/** Instances that tell one another of losses by real calls. */

const PEER_KEY = 'key';
const NAMES = ['one', 'two', 'three', 'four'];

class LossInstance {
  readonly losses: RequestLosses;
  readonly announcer: RpcLossAnnouncer;

  constructor(
    readonly record: InstanceRecord,
    records: readonly InstanceRecord[],
    private readonly owned: DisposableStore,
  ) {
    const clock = new SystemClock();
    const logger = new SilentLogger();
    const suspicions = new SuspicionTracker(clock, logger);
    this.losses = new RequestLosses(
      clock,
      logger,
      new EndedUpstreams(clock, logger, suspicions),
      () => false,
      () => false,
    );
    const peers = records.filter(({name}) => name !== record.name);
    this.announcer = owned.add(
      new RpcLossAnnouncer(
        clock,
        logger,
        PEER_KEY,
        record.name,
        this.losses,
        {peers, serving: records},
        new MemoryBudget(Infinity),
      ),
    );
  }

  async serve(): Promise<void> {
    const router = createGossipRouter(
      () => {
        throw new Error('not used');
      },
      news => this.losses.applyNews(news),
      news => this.announcer.collect(news),
    );
    this.owned.add(await serveRpc(router, this.record.peerAddress, PEER_KEY));
  }

  async lose(key: string, upstream: string): Promise<void> {
    this.losses.record(key, upstream, 'lost');
    await this.announcer.report(key);
  }
}

describe('the collector of the losses of a request', () => {
  let owned: DisposableStore;
  beforeEach(() => (owned = new DisposableStore()));
  afterEach(() => owned.dispose());

  // Guards against copies of a request at several instances that each lose upstreams of which no other one knows.
  it.each([
    {name: 'learns of a single loss alone', runs: true, count: 1, knowing: 2},
    {name: 'tells all of the second loss', runs: true, count: 2, knowing: 4},
    {name: 'is replaced by calls to all', runs: false, count: 1, knowing: 3},
  ])('$name', async ({runs, count, knowing}) => {
    const addresses = await freeAddresses(NAMES.length);
    const records = NAMES.map((name, index) => ({
      name,
      startedAt: 1,
      dataCentre: 'north',
      region: 'region',
      callerAddress: '',
      peerAddress: addresses[index]!,
    }));
    const instances = records.map(
      record => new LossInstance(record, records, owned),
    );
    const collector = chooseLossCollector(
      'request',
      instances,
      ({record}) => record.name,
    );
    const others = instances.filter(instance => instance !== collector);
    const serving = runs ? instances : others;
    await Promise.all(serving.map(instance => instance.serve()));
    for (let index = 0; index < count; index++) {
      await others[index]!.lose('request', `upstream-${index}`);
    }
    await expect
      .poll(
        () =>
          serving.filter(
            ({losses}) => losses.endedUnder('request').length === count,
          ).length,
      )
      .toBe(knowing);
  });
});
