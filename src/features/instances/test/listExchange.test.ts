import {describe, expect, it} from 'vitest';

import {FakeClock} from '../../../../test/support/fakeClock.js';
import {CancellationToken} from '../../../base/common/cancellation.js';
import {momentBefore, momentOf} from '../../../base/common/moment.js';
import {SeededRandomSource} from '../../../base/common/randomSource.js';
import {failure, Result, success} from '../../../base/common/result.js';
import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {UpstreamDirectory} from '../../fleet/common/upstreamDirectory.js';
import {UpstreamLister} from '../../fleet/common/upstreamLister.js';
import {
  UpstreamListing,
  UpstreamSource,
} from '../../fleet/common/upstreamSource.js';
import {makeUpstream} from '../../fleet/test/upstreams.js';
import {ListExchange} from '../common/listExchange.js';
import {listAgeLimit, readerFor} from '../common/listReader.js';

const one = makeUpstream({id: 'one'});
const two = makeUpstream({id: 'two', address: '10.0.0.2:1'});
const leaving = {...one, isLeaving: true};

describe('the list of upstreams', () => {
  const cases: ReadonlyArray<{
    name: string;
    known: readonly Upstream[];
    knownAge: number;
    told: readonly Upstream[];
    toldAge: number;
    taken: readonly Upstream[];
    age: number;
    travels: boolean;
  }> = [
    {
      name: 'travels when it has changed',
      known: [one, two],
      knownAge: 500,
      told: [leaving, two],
      toldAge: 100,
      taken: [leaving, two],
      age: 100,
      travels: true,
    },
    {
      name: 'is only dated anew when it is the same',
      known: [one, two],
      knownAge: 500,
      told: [two, one],
      toldAge: 100,
      taken: [one, two],
      age: 100,
      travels: false,
    },
    {
      name: 'is not taken when it is older',
      known: [leaving, two],
      knownAge: 100,
      told: [one, two],
      toldAge: 500,
      taken: [leaving, two],
      age: 100,
      travels: false,
    },
  ];

  it.each(cases)('$name', row => {
    const clock = new FakeClock();
    clock.advance(10_000);
    const asker = new UpstreamDirectory(clock, new SilentLogger());
    const peer = new UpstreamDirectory(clock, new SilentLogger());
    asker.replace(row.known, momentBefore(momentOf(clock), row.knownAge));
    peer.replace(row.told, momentBefore(momentOf(clock), row.toldAge));
    const exchange = new ListExchange(asker);
    const answer = new ListExchange(peer).answerTo(exchange.own);
    expect(answer?.upstreams !== undefined).toBe(row.travels);
    exchange.take(answer, momentOf(clock));
    expect(asker.list).toEqual(row.taken);
    expect(asker.age).toBe(row.age);
  });

  it('is as old as the question when its answer comes late', () => {
    const clock = new FakeClock();
    const peer = new UpstreamDirectory(clock, new SilentLogger());
    const asker = new UpstreamDirectory(clock, new SilentLogger());
    peer.replace([one]);
    const exchange = new ListExchange(asker);
    const askedAt = momentOf(clock);
    const answer = new ListExchange(peer).answerTo(exchange.own);
    clock.advance(3000);
    exchange.take(answer, askedAt);
    expect(asker.age).toBe(3000);
  });

  it('of a peer that was suspended is not taken for a fresh one', () => {
    const clock = new FakeClock();
    const peerClock = new FakeClock();
    const asker = new UpstreamDirectory(clock, new SilentLogger());
    const peer = new UpstreamDirectory(peerClock, new SilentLogger());
    peer.replace([one]);
    // The peer's monotonic clock stands still meanwhile.
    peerClock.shiftWall(4000);
    clock.advance(4000);
    asker.replace([leaving], momentBefore(momentOf(clock), 600));
    const exchange = new ListExchange(asker);
    const answer = new ListExchange(peer).answerTo(exchange.own);
    exchange.take(answer, momentOf(clock));
    expect(asker.list).toEqual([leaving]);
    expect(asker.age).toBe(600);
  });
});

/** The platform's list, for all instances. */
class SharedSource extends UpstreamSource {
  readings = 0;
  isDown = false;

  constructor(public upstreams: readonly Upstream[]) {
    super();
  }

  override async list(
    _token: CancellationToken,
  ): Promise<Result<UpstreamListing, string>> {
    this.readings++;
    return this.isDown
      ? failure('down')
      : success({upstreams: this.upstreams, findings: []});
  }
}

function nameOf(index: number): string {
  return `instance-${index}`;
}

describe('the reader of the list', () => {
  const many = [...Array(40)].map((_, index) => `i${String(index + 10)}`);

  it.each([
    {name: 'b', serving: ['a', 'b', 'c'], reader: 'a'},
    {name: 'a', serving: ['b', 'c'], reader: 'b'},
    {name: 'a', serving: [], reader: undefined},
    {name: 'i25', serving: many, reader: 'i10'},
    {name: 'i26', serving: many, reader: 'i26'},
    {name: 'i49', serving: many, reader: 'i42'},
  ])('for $name of $serving is $reader', ({name, serving, reader}) => {
    expect(readerFor(name, serving)).toBe(reader);
  });

  it.each([
    {reader: 'own', limit: 500},
    {reader: 'other', limit: 1100},
    {reader: undefined, limit: 750},
  ])('$reader lets the list get $limit ms old', ({reader, limit}) => {
    expect(listAgeLimit('own', reader)).toBe(limit);
  });
});

describe('instances that pass the list on', () => {
  const INSTANCES = 7;
  const PEERS = 4;
  const ROUND_MILLISECONDS = 400;
  const STEP_MILLISECONDS = 20;

  /** Instances that ask some peers in each round, as they talk. */
  class ListWorld {
    readonly clock = new FakeClock();
    readonly source = new SharedSource([one, two]);
    readonly directories: UpstreamDirectory[] = [];
    private readonly listers: UpstreamLister[] = [];
    private readonly lost = new Set<number>();
    private readonly exchanges: ListExchange[] = [];
    private readonly random = new SeededRandomSource(5);

    constructor(readonly passesOn: boolean) {
      const logger = new SilentLogger();
      for (let index = 0; index < INSTANCES; index++) {
        const directory = new UpstreamDirectory(this.clock, logger);
        const random = new SeededRandomSource(index);
        this.directories.push(directory);
        this.exchanges.push(new ListExchange(directory));
        const lister = new UpstreamLister(
          this.clock,
          random,
          logger,
          this.source,
          directory,
          () => listAgeLimit(nameOf(index), passesOn ? nameOf(0) : undefined),
        );
        this.listers.push(lister);
        lister.start();
      }
    }

    /** An instance ends. */
    lose(index: number): void {
      this.lost.add(index);
      this.listers[index]!.dispose();
    }

    async pass(milliseconds: number): Promise<number> {
      let oldest = 0;
      for (let at = 0; at < milliseconds; at += STEP_MILLISECONDS) {
        await this.clock.advanceAsync(STEP_MILLISECONDS);
        this.exchanges.forEach((_, index) => this.talk(index));
        const ages = this.directories
          .filter((_, index) => !this.lost.has(index))
          .map(({age}) => age);
        oldest = Math.max(oldest, ...ages);
      }
      return oldest;
    }

    private talk(index: number): void {
      const moment = momentOf(this.clock);
      const now = moment.monotonic;
      const phase = (index * ROUND_MILLISECONDS) / INSTANCES;
      const isDue = (now - phase) % ROUND_MILLISECONDS < STEP_MILLISECONDS;
      if (!this.passesOn || this.lost.has(index) || now < phase || !isDue) {
        return;
      }
      const asker = this.exchanges[index]!;
      for (let count = 0; count < PEERS; count++) {
        const peer = count === 0 ? 0 : this.random.nextInteger(INSTANCES);
        if (!this.lost.has(peer)) {
          asker.take(this.exchanges[peer]!.answerTo(asker.own), moment);
        }
      }
    }
  }

  it.each([
    {passesOn: false, least: 70, most: 100},
    {passesOn: true, least: 15, most: 30},
  ])(
    'read it $least to $most times in 10 s when they do: $passesOn',
    async ({passesOn, least, most}) => {
      const world = new ListWorld(passesOn);
      await world.pass(2000);
      const before = world.source.readings;
      const oldest = await world.pass(10_000);
      const readings = world.source.readings - before;
      expect(readings).toBeGreaterThanOrEqual(least);
      expect(readings).toBeLessThanOrEqual(most);
      expect(oldest).toBeLessThan(1200);
    },
  );

  it('read it themselves when their reader is gone', async () => {
    const world = new ListWorld(true);
    await world.pass(2000);
    world.lose(0);
    const before = world.source.readings;
    expect(await world.pass(5000)).toBeLessThan(1400);
    expect(world.source.readings - before).toBeGreaterThan(3);
  });

  it('all know within a second and a half that an upstream leaves', async () => {
    const world = new ListWorld(true);
    for (let start = 0; start < 10; start++) {
      await world.pass(2000 + 130 * start);
      world.source.upstreams = [leaving, two];
      await world.pass(1500);
      for (const directory of world.directories) {
        expect(directory.find('one')?.isLeaving).toBe(true);
      }
      world.source.upstreams = [one, two];
    }
  });

  it('try to read it while it can not be read', async () => {
    const world = new ListWorld(true);
    await world.pass(2000);
    world.source.isDown = true;
    await world.pass(4000);
    world.source.isDown = false;
    expect(await world.pass(500)).toBeGreaterThan(4000);
    expect(await world.pass(4000)).toBeLessThan(1200);
  });
});
