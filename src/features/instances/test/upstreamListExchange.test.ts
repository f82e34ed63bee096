import {describe, expect, it} from 'vitest';

import {FakeClock} from '../../../../test/support/fakeClock.js';
import {CancellationToken} from '../../../base/common/cancellation.js';
import {momentBefore, currentMoment} from '../../../base/common/moment.js';
import {SeededRandomSource} from '../../../base/common/randomSource.js';
import {failure, Result, success} from '../../../base/common/result.js';
import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {UpstreamDirectory} from '../../fleet/common/upstreamDirectory.js';
import {UpstreamListRefresher} from '../../fleet/common/upstreamListRefresher.js';
import {
  UpstreamListing,
  UpstreamSource,
} from '../../fleet/common/upstreamSource.js';
import {makeUpstream} from '../../fleet/test/upstreams.js';
import {UpstreamListExchange} from '../common/upstreamListExchange.js';
import {
  listAgeLimitFor,
  selectListReader,
} from '../common/upstreamListReader.js';

const one = makeUpstream({id: 'one'});
const two = makeUpstream({id: 'two', address: '10.0.0.2:1'});
const leaving = {...one, isLeaving: true};

describe('the list of upstreams in a response', () => {
  const cases: ReadonlyArray<{
    name: string;
    known: readonly Upstream[];
    knownAge: number;
    peerList: readonly Upstream[];
    peerListAge: number;
    expectedList: readonly Upstream[];
    age: number;
    hasEntries: boolean;
  }> = [
    {
      name: 'has entries when it differs from the list of the requester',
      known: [one, two],
      knownAge: 500,
      peerList: [leaving, two],
      peerListAge: 100,
      expectedList: [leaving, two],
      age: 100,
      hasEntries: true,
    },
    {
      name: 'only renews the age when the lists are equal',
      known: [one, two],
      knownAge: 500,
      peerList: [two, one],
      peerListAge: 100,
      expectedList: [one, two],
      age: 100,
      hasEntries: false,
    },
    {
      name: 'has no effect when it is older',
      known: [leaving, two],
      knownAge: 100,
      peerList: [one, two],
      peerListAge: 500,
      expectedList: [leaving, two],
      age: 100,
      hasEntries: false,
    },
  ];

  it.each(cases)('$name', row => {
    const clock = new FakeClock();
    clock.advance(10_000);
    const requester = new UpstreamDirectory(clock, new SilentLogger());
    const peer = new UpstreamDirectory(clock, new SilentLogger());
    requester.replace(
      row.known,
      momentBefore(currentMoment(clock), row.knownAge),
    );
    peer.replace(
      row.peerList,
      momentBefore(currentMoment(clock), row.peerListAge),
    );
    const exchange = new UpstreamListExchange(requester);
    const response = new UpstreamListExchange(peer).createResponse(
      exchange.own,
    );
    expect(response?.upstreams !== undefined).toBe(row.hasEntries);
    exchange.applyResponse(response, currentMoment(clock));
    expect(requester.list).toEqual(row.expectedList);
    expect(requester.age).toBe(row.age);
  });

  it('is dated from the request when the response is late', () => {
    const clock = new FakeClock();
    const peer = new UpstreamDirectory(clock, new SilentLogger());
    const requester = new UpstreamDirectory(clock, new SilentLogger());
    peer.replace([one]);
    const exchange = new UpstreamListExchange(requester);
    const requestedAt = currentMoment(clock);
    const response = new UpstreamListExchange(peer).createResponse(
      exchange.own,
    );
    clock.advance(3000);
    exchange.applyResponse(response, requestedAt);
    expect(requester.age).toBe(3000);
  });

  it('is not considered fresh when its sender was suspended', () => {
    const clock = new FakeClock();
    const peerClock = new FakeClock();
    const requester = new UpstreamDirectory(clock, new SilentLogger());
    const peer = new UpstreamDirectory(peerClock, new SilentLogger());
    peer.replace([one]);
    // The peer's monotonic clock stops during the suspension.
    peerClock.shiftWallClock(4000);
    clock.advance(4000);
    requester.replace([leaving], momentBefore(currentMoment(clock), 600));
    const exchange = new UpstreamListExchange(requester);
    const response = new UpstreamListExchange(peer).createResponse(
      exchange.own,
    );
    exchange.applyResponse(response, currentMoment(clock));
    expect(requester.list).toEqual([leaving]);
    expect(requester.age).toBe(600);
  });
});

/** The platform's list of upstreams, with a count of its reads. */
class SharedSource extends UpstreamSource {
  readCount = 0;
  isDown = false;

  constructor(public upstreams: readonly Upstream[]) {
    super();
  }

  override async list(
    _token: CancellationToken,
  ): Promise<Result<UpstreamListing, string>> {
    this.readCount++;
    return this.isDown
      ? failure('down')
      : success({upstreams: this.upstreams, findings: []});
  }
}

function nameOf(index: number): string {
  return `instance-${index}`;
}

describe('the reader of the list of upstreams', () => {
  const manyInstances = [...Array(40)].map(
    (_, index) => `i${String(index + 10)}`,
  );

  it.each([
    {name: 'b', serving: ['a', 'b', 'c'], reader: 'a'},
    {name: 'a', serving: ['b', 'c'], reader: 'b'},
    {name: 'a', serving: [], reader: undefined},
    {name: 'i25', serving: manyInstances, reader: 'i10'},
    {name: 'i26', serving: manyInstances, reader: 'i26'},
    {name: 'i49', serving: manyInstances, reader: 'i42'},
  ])(
    'for $name is $reader when $serving are serving',
    ({name, serving, reader}) => {
      expect(selectListReader(name, serving)).toBe(reader);
    },
  );

  it.each([
    {reader: 'own', limit: 500},
    {reader: 'other', limit: 1100},
    {reader: undefined, limit: 750},
  ])(
    'limits the age of the list to $limit ms when it is $reader',
    ({reader, limit}) => {
      expect(listAgeLimitFor('own', reader)).toBe(limit);
    },
  );
});

describe('instances that share the list of upstreams', () => {
  const INSTANCE_COUNT = 7;
  const PEERS_PER_ROUND = 4;
  const ROUND_MILLISECONDS = 400;
  const STEP_MILLISECONDS = 20;

  /** Simulates instances that contact some peers in each gossip round. */
  class ListSimulation {
    readonly clock = new FakeClock();
    readonly source = new SharedSource([one, two]);
    readonly directories: UpstreamDirectory[] = [];
    private readonly listers: UpstreamListRefresher[] = [];
    private readonly lost = new Set<number>();
    private readonly exchanges: UpstreamListExchange[] = [];
    private readonly random = new SeededRandomSource(5);

    constructor(readonly isShared: boolean) {
      const logger = new SilentLogger();
      for (let index = 0; index < INSTANCE_COUNT; index++) {
        const directory = new UpstreamDirectory(this.clock, logger);
        const random = new SeededRandomSource(index);
        this.directories.push(directory);
        this.exchanges.push(new UpstreamListExchange(directory));
        const lister = new UpstreamListRefresher(
          this.clock,
          random,
          logger,
          this.source,
          directory,
          () =>
            listAgeLimitFor(nameOf(index), isShared ? nameOf(0) : undefined),
        );
        this.listers.push(lister);
        lister.start();
      }
    }

    /** Stops an instance. */
    stop(index: number): void {
      this.lost.add(index);
      this.listers[index]!.dispose();
    }

    async advance(milliseconds: number): Promise<number> {
      let oldest = 0;
      for (let at = 0; at < milliseconds; at += STEP_MILLISECONDS) {
        await this.clock.advanceAsync(STEP_MILLISECONDS);
        this.exchanges.forEach((_, index) => this.runRound(index));
        const ages = this.directories
          .filter((_, index) => !this.lost.has(index))
          .map(({age}) => age);
        oldest = Math.max(oldest, ...ages);
      }
      return oldest;
    }

    private runRound(index: number): void {
      const moment = currentMoment(this.clock);
      const now = moment.monotonic;
      const phase = (index * ROUND_MILLISECONDS) / INSTANCE_COUNT;
      const isDue = (now - phase) % ROUND_MILLISECONDS < STEP_MILLISECONDS;
      if (!this.isShared || this.lost.has(index) || now < phase || !isDue) {
        return;
      }
      const requester = this.exchanges[index]!;
      for (let count = 0; count < PEERS_PER_ROUND; count++) {
        const peer = count === 0 ? 0 : this.random.nextInteger(INSTANCE_COUNT);
        if (!this.lost.has(peer)) {
          requester.applyResponse(
            this.exchanges[peer]!.createResponse(requester.own),
            moment,
          );
        }
      }
    }
  }

  it.each([
    {isShared: false, minimum: 70, maximum: 100},
    {isShared: true, minimum: 15, maximum: 30},
  ])(
    'read it $minimum to $maximum times in 10 s with sharing $isShared',
    async ({isShared, minimum, maximum}) => {
      const simulation = new ListSimulation(isShared);
      await simulation.advance(2000);
      const before = simulation.source.readCount;
      const oldest = await simulation.advance(10_000);
      const readCount = simulation.source.readCount - before;
      expect(readCount).toBeGreaterThanOrEqual(minimum);
      expect(readCount).toBeLessThanOrEqual(maximum);
      expect(oldest).toBeLessThan(1200);
    },
  );

  it('read it themselves after their reader has stopped', async () => {
    const simulation = new ListSimulation(true);
    await simulation.advance(2000);
    simulation.stop(0);
    const before = simulation.source.readCount;
    expect(await simulation.advance(5000)).toBeLessThan(1400);
    expect(simulation.source.readCount - before).toBeGreaterThan(3);
  });

  it('all learn within 1.5 s that an upstream is leaving', async () => {
    const simulation = new ListSimulation(true);
    for (let start = 0; start < 10; start++) {
      await simulation.advance(2000 + 130 * start);
      simulation.source.upstreams = [leaving, two];
      await simulation.advance(1500);
      for (const directory of simulation.directories) {
        expect(directory.find('one')?.isLeaving).toBe(true);
      }
      simulation.source.upstreams = [one, two];
    }
  });

  it('retry failed reads until the platform is back', async () => {
    const simulation = new ListSimulation(true);
    await simulation.advance(2000);
    simulation.source.isDown = true;
    await simulation.advance(4000);
    simulation.source.isDown = false;
    expect(await simulation.advance(500)).toBeGreaterThan(4000);
    expect(await simulation.advance(4000)).toBeLessThan(1200);
  });
});
