import {describe, expect, it} from 'vitest';

import {SeededRandomSource} from '../../../base/common/randomSource.js';
import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {choosePlainUpstream} from '../../forwarding/common/choosePlainUpstream.js';
import {UpstreamRests} from '../common/upstreamRests.js';
import {makeUpstream} from './upstreams.js';

describe('the rest of an upstream', () => {
  it.each([
    {name: 'ends after its time', rests: [3_000], passed: 1_000, left: 2_000},
    {name: 'may be a fraction', rests: [830.5], passed: 830, left: 0.5},
    {name: 'ends with the last', rests: [3_000, 500], passed: 0, left: 3_000},
    {name: 'is bounded', rests: [1e12], passed: 0, left: 600_000},
  ])('$name', ({rests, passed, left}) => {
    const clock = new FakeClock();
    const tracker = new UpstreamRests(clock, new SilentLogger());
    rests.forEach(rest => tracker.record('one', rest, false));
    clock.advance(passed);
    expect(tracker.millisecondsUntilPermit('one')).toBe(left);
  });

  it('does not grow while peers tell each other of it', () => {
    const clock = new FakeClock();
    const [one, other] = [0, 1].map(
      () => new UpstreamRests(clock, new SilentLogger()),
    ) as [UpstreamRests, UpstreamRests];
    one.record('one', 3_000, true);
    for (let round = 0; round < 100; round++) {
      for (const [from, to] of [
        [one, other],
        [other, one],
      ] as const) {
        const {readings} = from;
        clock.advance(5);
        readings.forEach(reading => to.recordFromPeer(reading));
      }
    }
    expect(one.millisecondsUntilPermit('one')).toBe(2_000);
  });

  it.each([
    {isRelayed: true, told: ['one'], peerKeepsOff: 3_000},
    {isRelayed: false, told: [], peerKeepsOff: 0},
  ])(
    'is told at once to the peer that relayed the request, which keeps to it: $isRelayed',
    async ({isRelayed, told, peerKeepsOff}) => {
      const clock = new FakeClock();
      const [own, peer] = [0, 1].map(
        () => new UpstreamRests(clock, new SilentLogger()),
      ) as [UpstreamRests, UpstreamRests];
      const announced: string[] = [];
      own.onDidRestRelay(upstream => announced.push(upstream));
      own.record('one', 3_000, isRelayed);
      own.readings.forEach(reading => peer.recordFromPeer(reading));
      await clock.advanceAsync(0);
      expect(announced).toEqual(told);
      expect(peer.millisecondsUntilPermit('one')).toBe(peerKeepsOff);
    },
  );
});

// A peer had to lose a caller's request of its own to each upstream that floods.
it('an upstream whose response does not end is left alone by peers, and not for good', () => {
  const clock = new FakeClock();
  const [own, peer] = [0, 1].map(
    () => new UpstreamRests(clock, new SilentLogger()),
  ) as [UpstreamRests, UpstreamRests];
  own.recordFlood('one');
  own.readings.forEach(reading => peer.recordFromPeer(reading));
  expect(peer.millisecondsUntilPermit('one')).toBeGreaterThan(0);
  clock.advance(peer.millisecondsUntilPermit('one'));
  expect(own.millisecondsUntilPermit('one')).toBe(0);
  expect(peer.readings).toEqual([]);
});

const REST_MILLISECONDS = 3_000;
const WORK_MILLISECONDS = 43;
const SLOTS = 6;
const QUEUE = 24;
const UPSTREAMS = ['a', 'b', 'c'].map(id => makeUpstream({id, slots: SLOTS}));
const STEP_MILLISECONDS = 10;
const LENGTH_MILLISECONDS = 12_000;

/** The published bound: what may reach an upstream from one instance between half a second after it asked and the end. */
const NOTICE_MILLISECONDS = 500;
const REQUESTS_IN_REST = 2;

interface Arrival {
  readonly at: number;
  readonly instance: number;
  readonly upstream: string;
  readonly isShed: boolean;
}

interface Situation {
  readonly name: string;
  /** Upstreams that shed every request from two seconds on. */
  readonly shedding: readonly string[];
  readonly shedMilliseconds: number;
  /** Offered load as a share of what the three upstreams can do. */
  readonly load: number;
  /** The least share of requests that is served after all rests. */
  readonly servedAfter: number;
}

/** Plays instances that know nothing of each other's rests; returns what reached the upstreams, and the share served. */
function play(
  instanceCount: number,
  {shedding, shedMilliseconds, load}: Situation,
  seed: number,
): {arrivals: readonly Arrival[]; servedAfter: number} {
  const clock = new FakeClock();
  const random = new SeededRandomSource(seed);
  const instances = [...Array(instanceCount).keys()].map(() => ({
    rests: new UpstreamRests(clock, new SilentLogger()),
    running: new Map<string, number>(),
  }));
  const occupied = new Map<string, number>();
  const arrivals: Arrival[] = [];
  const offered = {all: 0, served: 0};
  const perStep =
    (load * UPSTREAMS.length * SLOTS * STEP_MILLISECONDS) / WORK_MILLISECONDS;

  const send = (index: number): void => {
    const {rests, running} = instances[index]!;
    const now = clock.monotonicMilliseconds();
    const isCounted = now > 2_000 + shedMilliseconds + 2 * REST_MILLISECONDS;
    offered.all += isCounted ? 1 : 0;
    const choice = choosePlainUpstream({
      upstreams: UPSTREAMS,
      loadOf: id => ({
        requests: running.get(id) ?? 0,
        starts: 0,
        tokenLayers: 0,
      }),
      failureRateOf: () => 0,
      isUsable: ({id}) => rests.millisecondsUntilPermit(id) === 0,
      randomFraction: () => random.next(),
    });
    if (choice.kind !== 'found') {
      return;
    }
    const {id} = choice.upstream;
    const waiting = occupied.get(id) ?? 0;
    const isShed =
      waiting >= SLOTS + QUEUE ||
      (shedding.includes(id) && now >= 2_000 && now < 2_000 + shedMilliseconds);
    arrivals.push({at: now, instance: index, upstream: id, isShed});
    if (isShed) {
      rests.record(id, REST_MILLISECONDS, false);
      return;
    }
    offered.served += isCounted ? 1 : 0;
    occupied.set(id, waiting + 1);
    running.set(id, (running.get(id) ?? 0) + 1);
    const rounds = Math.ceil((waiting + 1) / SLOTS);
    clock.setTimer(rounds * WORK_MILLISECONDS, () => {
      occupied.set(id, occupied.get(id)! - 1);
      running.set(id, running.get(id)! - 1);
    });
  };

  for (let step = 0; step * STEP_MILLISECONDS < LENGTH_MILLISECONDS; step++) {
    const due = Math.floor((step + 1) * perStep) - Math.floor(step * perStep);
    for (let count = 0; count < due; count++) {
      send(random.nextInteger(instanceCount));
    }
    clock.advance(STEP_MILLISECONDS);
  }
  return {arrivals, servedAfter: offered.served / offered.all};
}

/** The most requests that one instance sent to an upstream within one rest that it was asked for. */
function mostInRest(arrivals: readonly Arrival[]): number {
  const counts = arrivals
    .filter(({isShed}) => isShed)
    .map(
      asked =>
        arrivals.filter(
          ({at, instance, upstream}) =>
            instance === asked.instance &&
            upstream === asked.upstream &&
            at >= asked.at + NOTICE_MILLISECONDS &&
            at < asked.at + REST_MILLISECONDS,
        ).length,
    );
  return Math.max(0, ...counts);
}

describe.each([3, 7, 19, 370])('%i instances', instanceCount => {
  it.each<Situation>([
    {
      name: 'one of three upstreams sheds for 1.5 s',
      shedding: ['a'],
      shedMilliseconds: 1_500,
      load: 0.5,
      servedAfter: 0.99,
    },
    {
      name: 'two of three shed for 1.5 s',
      shedding: ['a', 'b'],
      shedMilliseconds: 1_500,
      load: 0.5,
      servedAfter: 0.99,
    },
    {
      name: 'all shed for 0.3 s',
      shedding: ['a', 'b', 'c'],
      shedMilliseconds: 300,
      load: 0.8,
      servedAfter: 0.99,
    },
  ])('keep to the rests and serve all again while $name', situation => {
    for (const seed of [1, 2, 3]) {
      const {arrivals, servedAfter} = play(instanceCount, situation, seed);
      expect(mostInRest(arrivals)).toBeLessThanOrEqual(REQUESTS_IN_REST);
      expect(servedAfter).toBeGreaterThanOrEqual(situation.servedAfter);
    }
  });
});
