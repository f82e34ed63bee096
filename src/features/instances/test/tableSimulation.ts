import {SeededRandomSource} from '../../../base/common/randomSource.js';
import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {
  GossipingInstance,
  GossipSimulation,
} from '../../../../test/support/gossipSimulation.js';
import {MESSAGE_LIST_LIMIT} from '../common/gossipMessage.js';
import {HeartbeatExchange} from '../common/heartbeatExchange.js';
import {InstanceTable} from '../common/instanceTable.js';

/** Plays instances that know of each other by their tables, on one simulated clock. */

export const DATA_CENTRES = ['north', 'south', 'east'];

/** An instance with a table. */
export class TableInstance extends GossipingInstance {
  table!: InstanceTable;
  heartbeats!: HeartbeatExchange;
  startedAt = 0;
  readonly name: string;
  constructor(
    index: number,
    protected readonly clock: FakeClock,
  ) {
    super(index);
    this.name = `instance-${index}`;
  }

  /** Starts with nothing that it knew before, and serves. */
  start(): void {
    const {clock, name} = this;
    this.startedAt = clock.wallMilliseconds();
    this.table = new InstanceTable(clock, new SilentLogger(), {
      name,
      startedAt: this.startedAt,
      dataCentre: DATA_CENTRES[this.index % DATA_CENTRES.length]!,
      region: 'region',
      callerAddress: name,
      peerAddress: name,
    });
    this.table.state = 'serving';
    this.heartbeats = new HeartbeatExchange(
      clock,
      this.table,
      name,
      MESSAGE_LIST_LIMIT,
    );
    this.isRunning = true;
  }
}

/** The instances, which tell each other what their tables hold. */
export abstract class TableSimulation<
  T extends TableInstance,
> extends GossipSimulation<T> {
  constructor(
    random: SeededRandomSource,
    instanceCount: number,
    create: (index: number, clock: FakeClock) => T,
  ) {
    super(random);
    for (let index = 0; index < instanceCount; index++) {
      const instance = create(index, this.clock);
      instance.start();
      this.instances.push(instance);
    }
    for (const {table} of this.instances) {
      for (const other of this.instances) {
        table.applyHeartbeat(other.table.createHeartbeat());
      }
    }
  }

  protected override onUnreachable(one: T, peer: T): void {
    const isRefused = !peer.isRunning && one.side === peer.side;
    one.table.markUnreachable(peer.name, isRefused);
  }

  protected override exchange(one: T, other: T): void {
    const request = one.heartbeats.createRequest(other.name);
    other.heartbeats.apply(one.name, request);
    const response = other.heartbeats.createResponse(request);
    one.heartbeats.apply(other.name, response);
  }
}
