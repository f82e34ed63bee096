import {afterEach, describe, expect, test} from 'vitest';

import {neverCancelled} from '../../../base/common/cancellation.js';
import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';
import {CellMap} from '../common/cellMap.js';
import {
  Reservation,
  ReservationReply,
  StageObservation,
} from '../common/routing.js';
import {BrokerBench, Reach} from './brokerBench.js';
import {
  engineMember,
  instanceMember,
  systemView,
  workEstimate,
} from './routingFakes.js';

const signal = neverCancelled.signal;
const instances = ['i1', 'i2', 'i3'].map(id => instanceMember(id));
const engines = ['e1', 'e2', 'e3', 'e4'].map(id => engineMember(id));

let bench: BrokerBench;

afterEach(() => bench.dispose());

async function startBench(
  upstreams: readonly UpstreamMember[] = engines,
): Promise<void> {
  bench = new BrokerBench(instances, upstreams, 8);
  await bench.clock.advanceAsync(3000);
}

function ownerOf(): string {
  const view = systemView(instances, engines);
  return CellMap.of(view, 8).ownersOf('north-1/0', 1)[0]!.id;
}

function others(): string[] {
  return instances.map(one => one.id).filter(id => id !== ownerOf());
}

function reserve(from: string, requestId = 'r1'): Promise<ReservationReply> {
  const work = workEstimate(requestId);
  return bench.complete(bench.broker(from).reserve(work, 'm', signal));
}

async function reserved(from: string, requestId = 'r1'): Promise<Reservation> {
  const reply = await reserve(from, requestId);
  if (reply.kind !== 'reserved') {
    throw new Error(`refused: ${reply.reason}`);
  }
  return reply.reservation;
}

function observation(
  upstream: string,
  outcome: StageObservation['outcome'],
): StageObservation {
  const decodeMilliseconds = undefined;
  const linkMilliseconds = undefined;
  return {upstream, outcome, decodeMilliseconds, linkMilliseconds, steps: 0};
}

describe('who decides', () => {
  const cases: Array<{
    name: string;
    from: () => string;
    owner: Reach;
    by: string;
  }> = [
    {name: 'the owner itself', from: ownerOf, owner: 'up', by: 'owner'},
    {
      name: 'the owner, asked',
      from: () => others()[0]!,
      owner: 'up',
      by: 'owner',
    },
    {
      name: 'the next when the owner refuses connections',
      from: () => others()[0]!,
      owner: 'down',
      by: 'other',
    },
    {
      name: 'the next when the owner is silent',
      from: () => others()[0]!,
      owner: 'silent',
      by: 'other',
    },
  ];
  test.each(cases)('$name', async ({from, owner, by}) => {
    await startBench();
    bench.reach.set(ownerOf(), owner);
    const {reservationId} = await reserved(from());
    const isOwner = reservationId.endsWith(`@${ownerOf()}`);
    expect(isOwner ? 'owner' : 'other').toBe(by);
  });

  test('the requester itself when no instance answers', async () => {
    await startBench();
    const [from] = others();
    instances
      .filter(one => one.id !== from)
      .forEach(one => bench.reach.set(one.id, 'silent'));
    const {reservationId} = await reserved(from!);
    expect(reservationId.endsWith(`@${from}`)).toBe(true);
  });
});

test('a process that starts uses engines that ran before in full', async () => {
  bench = new BrokerBench(instances, engines, 8);
  await bench.clock.advanceAsync(100);
  const starts = [];
  for (let index = 0; index < 64; index++) {
    const {prediction} = await reserved(ownerOf(), `r${index}`);
    starts.push(prediction.startsInMilliseconds);
  }
  expect(Math.max(...starts)).toBe(0);
  const joined = [...engines, engineMember('e5')];
  bench.engines.set('e5');
  bench.show(instances, joined);
  await bench.clock.advanceAsync(100);
  const taken = await Promise.all(
    Array.from({length: 16}, (_, index) => reserve(ownerOf(), `n${index}`)),
  );
  const atOnce = taken.filter(
    reply =>
      reply.kind === 'reserved' &&
      reply.reservation.prediction.startsInMilliseconds === 0,
  );
  expect(atOnce.length).toBe(4);
});

describe('upstreams that may get nothing new', () => {
  const leavingList = [
    engineMember('e1', {state: 'leaving'}),
    ...engines.slice(1),
  ];
  const cases: Array<{name: string; cause: () => void}> = [
    {
      name: 'leaving by the list',
      cause: () => bench.show(instances, leavingList),
    },
    {
      name: 'leaving by its report',
      cause: () => bench.engines.set('e1', {leaving: true}),
    },
    {
      name: 'loading',
      cause: () => bench.engines.set('e1', {loading: true}),
    },
    {
      name: 'of another version',
      cause: () => bench.engines.set('e1', {version: '0'}),
    },
    {
      name: 'not found any more',
      cause: () => bench.engines.reports.delete('e1'),
    },
  ];
  test.each(cases)('$name', async ({cause}) => {
    await startBench();
    cause();
    await bench.clock.advanceAsync(1300);
    const used = new Set<string>();
    for (let index = 0; index < 40; index++) {
      const reservation = await reserved(others()[0]!, `r${index}`);
      reservation.stages.forEach(stage => used.add(stage.upstream));
    }
    expect(used.has('e1')).toBe(false);
  });

  test.each([
    {outcome: 'refused'},
    {outcome: 'failed'},
    {outcome: 'silent'},
  ] as const)('seen as $outcome, for a while', async ({outcome}) => {
    await startBench([engines[0]!, engines[1]!]);
    const first = await reserved(ownerOf(), 'first');
    const {upstream} = first.stages[0]!;
    const owner = bench.broker(ownerOf());
    owner.reportFailure(first, observation(upstream, outcome));
    for (let index = 0; index < 10; index++) {
      const {stages} = await reserved(ownerOf(), `soon${index}`);
      expect(stages[0]!.upstream).not.toBe(upstream);
    }
    const other = upstream === 'e1' ? 'e2' : 'e1';
    bench.engines.set(other, {leaving: true});
    await bench.clock.advanceAsync(1300);
    const later = await reserved(ownerOf(), 'later');
    expect(later.stages[0]).toMatchObject(
      outcome === 'refused' ? {upstream} : {upstream, probing: true},
    );
    owner.reportFailure(later, observation(upstream, 'completed'));
    const next = await reserved(ownerOf(), 'next');
    expect(next.stages[0]!.probing).toBe(undefined);
    expect(next.prediction.startsInMilliseconds).toBe(0);
  });
});

describe('while versions change', () => {
  const cases = [
    {name: 'the version before serves', began: undefined, served: '0'},
    {name: 'a reply goes on with its version', began: '0', served: '0'},
    {name: 'none takes over a reply of another', began: '1', served: undefined},
  ];
  test.each(cases)('$name', async ({began, served}) => {
    await startBench([engines[0]!]);
    bench.engines.set('e1', {version: '0'});
    await bench.clock.advanceAsync(1300);
    const work = {...workEstimate('r1'), version: began};
    const broker = bench.broker(ownerOf());
    const reply = await bench.complete(broker.reserve(work, 'm', signal));
    const stages = reply.kind === 'reserved' ? reply.reservation.stages : [];
    expect(stages[0]?.version).toBe(served);
  });
});

describe('reservations', () => {
  test('of a full cell are refused with differing times to come back', async () => {
    await startBench([engines[0]!]);
    bench.engines.set('e1', {sequenceLimit: 1});
    await bench.clock.advanceAsync(1300);
    const long = {...workEstimate('long'), outputTokens: 300};
    await bench.complete(bench.broker('i1').reserve(long, 'm', signal));
    const times: number[] = [];
    for (const from of ['i1', 'i2', 'i3']) {
      const reply = await reserve(from, `late-${from}`);
      expect(reply.kind).toBe('refused');
      times.push(reply.kind === 'refused' ? reply.retryAfterMilliseconds : 0);
    }
    expect(Math.min(...times)).toBeGreaterThan(0);
    expect(new Set(times).size).toBe(3);
  });

  test.each([
    {name: 'released', loses: false, wait: 200, after: 'reserved'},
    {name: 'lost release, soon', loses: true, wait: 200, after: 'refused'},
    {
      name: 'lost release, timed out',
      loses: true,
      wait: 9000,
      after: 'reserved',
    },
  ])('$name: the next is $after', async ({loses, wait, after}) => {
    await startBench([engines[0]!]);
    bench.engines.set('e1', {sequenceLimit: 1, residentSequences: 0});
    await bench.clock.advanceAsync(1300);
    const from = others()[0]!;
    const long = {...workEstimate('long'), outputTokens: 300};
    const reply = await bench.complete(
      bench.broker(from).reserve(long, 'm', signal),
    );
    bench.losesReleases = loses;
    if (reply.kind === 'reserved') {
      bench.broker(from).release(reply.reservation, []);
    }
    bench.engines.set('e1', {sequenceLimit: 1, ageMilliseconds: 60000});
    await bench.clock.advanceAsync(wait);
    const next = await reserve(from, 'next');
    expect(next).toMatchObject({kind: after});
  });

  test('outlive their owner: the release is harmless and the next owner grants', async () => {
    await startBench();
    const from = others()[0]!;
    const reservation = await reserved(from);
    const left = instances.filter(one => one.id !== ownerOf());
    bench.reach.set(ownerOf(), 'down');
    bench.show(
      left,
      engines,
      left.map(one => one.id),
    );
    await bench.clock.advanceAsync(1500);
    bench.broker(from).release(reservation, [observation('e1', 'completed')]);
    expect((await reserve(from, 'next')).kind).toBe('reserved');
  });

  test('are granted by two owners whose views differ', async () => {
    await startBench();
    const owner = ownerOf();
    const [other, third] = others();
    const left = instances.filter(one => one.id !== owner);
    bench.show(left, engines, [other!]);
    await bench.clock.advanceAsync(1500);
    const byOther = await reserved(other!, 'r1');
    const byOwner = await reserved(third!, 'r2');
    expect(byOwner.reservationId.endsWith(`@${owner}`)).toBe(true);
    expect(byOther.reservationId.endsWith(`@${owner}`)).toBe(false);
  });

  test.each([{from: 'owner'}, {from: 'other'}])(
    'are replanned without excluded upstreams, asked by the $from',
    async ({from}) => {
      await startBench();
      const asker = from === 'owner' ? ownerOf() : others()[0]!;
      const first = await reserved(asker);
      const excluded = first.stages.map(stage => stage.upstream);
      const reply = await bench.complete(
        bench
          .broker(asker)
          .replan(first, workEstimate('r1'), 'm', excluded, signal),
      );
      const stages = reply.kind === 'reserved' ? reply.reservation.stages : [];
      expect(stages.length).toBe(1);
      expect(excluded).not.toContain(stages[0]!.upstream);
    },
  );

  test('are found in another cell where a summary is stale', async () => {
    bench = new BrokerBench(instances, engines, 1);
    await bench.clock.advanceAsync(20000);
    const moved = ['e1', 'e2'];
    moved.forEach(id => bench.engines.set(id, {model: 'other'}));
    await bench.clock.advanceAsync(1300);
    for (let index = 0; index < 10; index++) {
      const {stages} = await reserved('i1', `r${index}`);
      expect(moved).not.toContain(stages[0]!.upstream);
    }
  });

  test('and refusals each leave one line for the decision and one for the choice of cell', async () => {
    await startBench();
    await reserved(others()[0]!);
    const names = bench.logger.decisions.map(one => one.name);
    expect(names.filter(name => name === 'reservation').length).toBe(1);
    expect(names.filter(name => name === 'cellChoice').length).toBe(1);
  });

  test('end with the request: a cancelled one is given back', async () => {
    await startBench();
    instances.forEach(one => bench.reach.set(one.id, 'silent'));
    const controller = new AbortController();
    const from = others()[0]!;
    const work = workEstimate('r1');
    const pending = bench.broker(from).reserve(work, 'm', controller.signal);
    controller.abort();
    expect((await bench.complete(pending)).kind).toBe('refused');
  });
});
