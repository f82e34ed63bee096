import {describe, expect, it} from 'vitest';

import {MemoryBudget} from '../../../base/common/memoryBudget.js';
import {SeededRandomSource} from '../../../base/common/randomSource.js';
import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {PromptGuard} from '../../crashes/common/promptGuard.js';
import {UpstreamLoadTracker} from '../../fleet/common/upstreamLoadTracker.js';
import {ForwardingHarness} from '../../forwarding/test/forwardingHarness.js';
import {configuration} from '../../forwarding/test/forwardingSetup.js';
import {GossipMessage} from '../common/gossipMessage.js';
import {toHeartbeatColumns} from '../common/heartbeatColumns.js';
import {InstanceRecord} from '../common/instance.js';
import {InstanceTable} from '../common/instanceTable.js';
import {PeerGossip} from '../node/peerGossip.js';

/** How long gossip holds the link of an instance. */

/** Streams are investigated after this silence, so a round of gossip may take a third of it. */
const INVESTIGATED_SILENCE_MILLISECONDS = 45;
const ROUND_LIMIT_MILLISECONDS = INVESTIGATED_SILENCE_MILLISECONDS / 3;
const PEERS_PER_ROUND = 4;
/** The narrowest links of the opened deployments: 20 Mbit/s. */
const LINK_BYTES_PER_MILLISECOND = 2_500;

const SETTLED_MILLISECONDS = 10_000;

function makeRecord(index: number): InstanceRecord {
  return {
    name: `front-data-centre-${index}`,
    startedAt: 1_700_000_000_000 + index,
    dataCentre: 'data-centre',
    region: 'region',
    callerAddress: `10.1.0.${index}:8227`,
    peerAddress: `10.1.0.${index}:7340`,
  };
}

class GossipingPeer {
  readonly table: InstanceTable;
  readonly gossip: PeerGossip;

  constructor(
    readonly clock: FakeClock,
    readonly record: InstanceRecord,
  ) {
    const logger = new SilentLogger();
    const harness = new ForwardingHarness(configuration, []);
    this.table = new InstanceTable(clock, logger, record);
    this.table.state = 'serving';
    this.gossip = new PeerGossip(
      clock,
      new SeededRandomSource(1),
      logger,
      record,
      'key',
      {
        ...harness.services,
        instances: this.table,
        registry: {} as never,
        load: new UpstreamLoadTracker(),
        limits: harness.limits,
        rests: {
          onDidRestRelay: () => ({dispose: () => undefined}),
          onDidFlood: () => ({dispose: () => undefined}),
          readings: [],
        } as never,
        promptGuard: new PromptGuard(clock, logger, true, () => true),
        crashRecordKeeper: {
          createNews: () => undefined,
          createResponse: () => undefined,
        } as never,
        lease: {isRenewed: false} as never,
        relaysOf: () => [],
      },
      new MemoryBudget(Infinity),
    );
  }

  /** Hears of all instances, as after a round of each of them. */
  hearOf(count: number, beat: number): void {
    for (let index = 0; index < count; index++) {
      const record = makeRecord(index);
      const heartbeat = {record, state: 'serving', isCutOff: false, beat};
      this.table.applyHeartbeat({...heartbeat, state: 'serving'});
    }
  }
}

describe('a round of gossip', () => {
  // Guards against messages that grow with the instances until they hold up the responses of upstreams.
  it.each([3, 7, 19, 86, 150, 370])(
    'among %i settled instances leaves the narrowest link free for responses of upstreams',
    count => {
      const clock = new FakeClock();
      clock.advance(SETTLED_MILLISECONDS);
      const one = new GossipingPeer(clock, makeRecord(0));
      const other = new GossipingPeer(clock, makeRecord(1));
      one.hearOf(count, 1);
      other.hearOf(count, 1);
      let message: GossipMessage = {
        from: 'none',
        instances: [],
        updates: toHeartbeatColumns([]),
        loads: [],
        slow: [],
        limits: [],
        rests: [],
        holdsLease: false,
        lost: [],
      };
      for (const {gossip} of [one, other, one, other]) {
        message = gossip.answer(message);
      }
      clock.advance(SETTLED_MILLISECONDS);
      one.hearOf(count, 2);
      other.hearOf(count, 3);
      message = one.gossip.answer(message);
      const bytes = JSON.stringify(other.gossip.answer(message)).length;
      const milliseconds =
        (PEERS_PER_ROUND * bytes) / LINK_BYTES_PER_MILLISECOND;
      expect(milliseconds).toBeLessThan(ROUND_LIMIT_MILLISECONDS);
    },
  );
});
