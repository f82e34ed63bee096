import {afterEach, describe, expect, test} from 'vitest';

import {neverCancelled} from '../../../base/common/cancellation.js';
import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';
import {CellMap} from '../common/cellMap.js';
import {
  Reservation,
  ReservationReply,
  StageObservation,
} from '../common/routing.js';
import {BrokerCluster, Reachability} from './brokerCluster.js';
import {
  engineMember,
  instanceMember,
  systemView,
  workEstimate,
} from './routingFakes.js';

const signal = neverCancelled.signal;
const instances = ['i1', 'i2', 'i3'].map(id => instanceMember(id));
const engines = ['e1', 'e2', 'e3', 'e4'].map(id => engineMember(id));

let cluster: BrokerCluster;

afterEach(() => cluster.dispose());

async function startCluster(
  upstreams: readonly UpstreamMember[] = engines,
): Promise<void> {
  cluster = new BrokerCluster(instances, upstreams, 8);
  await cluster.clock.advanceAsync(3000);
}

function ownerOf(): string {
  const view = systemView(instances, engines);
  return CellMap.of(view, 8).ownersOf('north-1/0', 1)[0]!.id;
}

function nonOwners(): string[] {
  return instances.map(instance => instance.id).filter(id => id !== ownerOf());
}

function reserve(from: string, requestId = 'r1'): Promise<ReservationReply> {
  const work = workEstimate(requestId);
  return cluster.runUntilSettled(
    cluster.broker(from).reserve(work, 'm', signal),
  );
}

async function reserveOrThrow(
  from: string,
  requestId = 'r1',
): Promise<Reservation> {
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

describe('a reservation is granted by', () => {
  const cases: Array<{
    name: string;
    from: () => string;
    owner: Reachability;
    by: string;
  }> = [
    {
      name: 'the owner when it is the requester',
      from: ownerOf,
      owner: 'up',
      by: 'owner',
    },
    {
      name: 'the owner when another instance is the requester',
      from: () => nonOwners()[0]!,
      owner: 'up',
      by: 'owner',
    },
    {
      name: 'the next instance when the owner refuses connections',
      from: () => nonOwners()[0]!,
      owner: 'down',
      by: 'other',
    },
    {
      name: 'the next instance when the owner does not answer',
      from: () => nonOwners()[0]!,
      owner: 'silent',
      by: 'other',
    },
  ];
  test.each(cases)('$name', async ({from, owner, by}) => {
    await startCluster();
    cluster.reachability.set(ownerOf(), owner);
    const {reservationId} = await reserveOrThrow(from());
    const isOwner = reservationId.endsWith(`@${ownerOf()}`);
    expect(isOwner ? 'owner' : 'other').toBe(by);
  });

  test('the requester when no other instance answers', async () => {
    await startCluster();
    const [from] = nonOwners();
    instances
      .filter(instance => instance.id !== from)
      .forEach(instance => cluster.reachability.set(instance.id, 'silent'));
    const {reservationId} = await reserveOrThrow(from!);
    expect(reservationId.endsWith(`@${from}`)).toBe(true);
  });
});

test('a process that starts uses the full limit of earlier engines but not of new ones', async () => {
  cluster = new BrokerCluster(instances, engines, 8);
  await cluster.clock.advanceAsync(100);
  const starts = [];
  for (let index = 0; index < 64; index++) {
    const {prediction} = await reserveOrThrow(ownerOf(), `r${index}`);
    starts.push(prediction.startsInMilliseconds);
  }
  expect(Math.max(...starts)).toBe(0);
  const joined = [...engines, engineMember('e5')];
  cluster.engines.set('e5');
  cluster.show(instances, joined);
  await cluster.clock.advanceAsync(100);
  const replies = await Promise.all(
    Array.from({length: 16}, (_, index) => reserve(ownerOf(), `n${index}`)),
  );
  const atOnce = replies.filter(
    reply =>
      reply.kind === 'reserved' &&
      reply.reservation.prediction.startsInMilliseconds === 0,
  );
  expect(atOnce.length).toBe(4);
});

describe('an upstream gets no new work', () => {
  const leavingList = [
    engineMember('e1', {state: 'leaving'}),
    ...engines.slice(1),
  ];
  const cases: Array<{name: string; cause: () => void}> = [
    {
      name: 'while the list shows it as leaving',
      cause: () => cluster.show(instances, leavingList),
    },
    {
      name: 'while its report shows it as leaving',
      cause: () => cluster.engines.set('e1', {leaving: true}),
    },
    {
      name: 'while it loads',
      cause: () => cluster.engines.set('e1', {loading: true}),
    },
    {
      name: 'while it does not hold the configured version',
      cause: () => cluster.engines.set('e1', {version: '0'}),
    },
    {
      name: 'after it became unreachable',
      cause: () => cluster.engines.reports.delete('e1'),
    },
  ];
  test.each(cases)('$name', async ({cause}) => {
    await startCluster();
    cause();
    await cluster.clock.advanceAsync(1300);
    const used = new Set<string>();
    for (let index = 0; index < 40; index++) {
      const reservation = await reserveOrThrow(nonOwners()[0]!, `r${index}`);
      reservation.stages.forEach(stage => used.add(stage.upstream));
    }
    expect(used.has('e1')).toBe(false);
  });

  test.each([
    {outcome: 'refused'},
    {outcome: 'failed'},
    {outcome: 'silent'},
  ] as const)(
    'for a limited time after the outcome $outcome',
    async ({outcome}) => {
      await startCluster([engines[0]!, engines[1]!]);
      const first = await reserveOrThrow(ownerOf(), 'first');
      const {upstream} = first.stages[0]!;
      const owner = cluster.broker(ownerOf());
      owner.reportFailure(first, observation(upstream, outcome));
      for (let index = 0; index < 10; index++) {
        const {stages} = await reserveOrThrow(ownerOf(), `soon${index}`);
        expect(stages[0]!.upstream).not.toBe(upstream);
      }
      const other = upstream === 'e1' ? 'e2' : 'e1';
      cluster.engines.set(other, {leaving: true});
      await cluster.clock.advanceAsync(1300);
      const later = await reserveOrThrow(ownerOf(), 'later');
      expect(later.stages[0]).toMatchObject(
        outcome === 'refused' ? {upstream} : {upstream, probing: true},
      );
      owner.reportFailure(later, observation(upstream, 'completed'));
      const next = await reserveOrThrow(ownerOf(), 'next');
      expect(next.stages[0]!.probing).toBe(undefined);
      expect(next.prediction.startsInMilliseconds).toBe(0);
    },
  );
});

describe('during a rolling update', () => {
  const cases = [
    {
      name: 'the previous version serves new requests',
      began: undefined,
      served: '0',
    },
    {name: 'a reply continues on its version', began: '0', served: '0'},
    {
      name: 'no version continues a reply that another one began',
      began: '1',
      served: undefined,
    },
  ];
  test.each(cases)('$name', async ({began, served}) => {
    await startCluster([engines[0]!]);
    cluster.engines.set('e1', {version: '0'});
    await cluster.clock.advanceAsync(1300);
    const work = {...workEstimate('r1'), version: began};
    const broker = cluster.broker(ownerOf());
    const reply = await cluster.runUntilSettled(
      broker.reserve(work, 'm', signal),
    );
    const stages = reply.kind === 'reserved' ? reply.reservation.stages : [];
    expect(stages[0]?.version).toBe(served);
  });
});

describe('reservations', () => {
  test('are refused by a full cell with a different retry time for each requester', async () => {
    await startCluster([engines[0]!]);
    cluster.engines.set('e1', {sequenceLimit: 1});
    await cluster.clock.advanceAsync(1300);
    const long = {...workEstimate('long'), outputTokens: 300};
    await cluster.runUntilSettled(
      cluster.broker('i1').reserve(long, 'm', signal),
    );
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
    {
      name: 'after a release',
      dropsReleases: false,
      wait: 200,
      outcome: 'reserved',
    },
    {
      name: 'soon after a lost release',
      dropsReleases: true,
      wait: 200,
      outcome: 'refused',
    },
    {
      name: 'after a lost release, once the reservation has expired',
      dropsReleases: true,
      wait: 9000,
      outcome: 'reserved',
    },
  ])(
    '$name the next request is $outcome',
    async ({dropsReleases, wait, outcome}) => {
      await startCluster([engines[0]!]);
      cluster.engines.set('e1', {sequenceLimit: 1, residentSequences: 0});
      await cluster.clock.advanceAsync(1300);
      const from = nonOwners()[0]!;
      const long = {...workEstimate('long'), outputTokens: 300};
      const reply = await cluster.runUntilSettled(
        cluster.broker(from).reserve(long, 'm', signal),
      );
      cluster.dropsReleases = dropsReleases;
      if (reply.kind === 'reserved') {
        cluster.broker(from).release(reply.reservation, []);
      }
      cluster.engines.set('e1', {sequenceLimit: 1, ageMilliseconds: 60000});
      await cluster.clock.advanceAsync(wait);
      const next = await reserve(from, 'next');
      expect(next).toMatchObject({kind: outcome});
    },
  );

  test('can be released after their owner has become unreachable, and the next owner grants new ones', async () => {
    await startCluster();
    const from = nonOwners()[0]!;
    const reservation = await reserveOrThrow(from);
    const remaining = instances.filter(instance => instance.id !== ownerOf());
    cluster.reachability.set(ownerOf(), 'down');
    cluster.show(
      remaining,
      engines,
      remaining.map(instance => instance.id),
    );
    await cluster.clock.advanceAsync(1500);
    cluster.broker(from).release(reservation, [observation('e1', 'completed')]);
    expect((await reserve(from, 'next')).kind).toBe('reserved');
  });

  test('are granted by two instances that both own the cell in differing views', async () => {
    await startCluster();
    const owner = ownerOf();
    const [other, third] = nonOwners();
    const remaining = instances.filter(instance => instance.id !== owner);
    cluster.show(remaining, engines, [other!]);
    await cluster.clock.advanceAsync(1500);
    const byOther = await reserveOrThrow(other!, 'r1');
    const byOwner = await reserveOrThrow(third!, 'r2');
    expect(byOwner.reservationId.endsWith(`@${owner}`)).toBe(true);
    expect(byOther.reservationId.endsWith(`@${owner}`)).toBe(false);
  });

  test.each([{from: 'owner'}, {from: 'other'}])(
    'are replanned without excluded upstreams when the $from asks',
    async ({from}) => {
      await startCluster();
      const requester = from === 'owner' ? ownerOf() : nonOwners()[0]!;
      const first = await reserveOrThrow(requester);
      const excluded = first.stages.map(stage => stage.upstream);
      const reply = await cluster.runUntilSettled(
        cluster
          .broker(requester)
          .replan(first, workEstimate('r1'), 'm', excluded, signal),
      );
      const stages = reply.kind === 'reserved' ? reply.reservation.stages : [];
      expect(stages.length).toBe(1);
      expect(excluded).not.toContain(stages[0]!.upstream);
    },
  );

  test('are granted by another cell when a summary is stale', async () => {
    cluster = new BrokerCluster(instances, engines, 1);
    await cluster.clock.advanceAsync(20000);
    const moved = ['e1', 'e2'];
    moved.forEach(id => cluster.engines.set(id, {model: 'other'}));
    await cluster.clock.advanceAsync(1300);
    for (let index = 0; index < 10; index++) {
      const {stages} = await reserveOrThrow('i1', `r${index}`);
      expect(moved).not.toContain(stages[0]!.upstream);
    }
  });

  test('each write one log line for the decision and one for the choice of cell', async () => {
    await startCluster();
    await reserveOrThrow(nonOwners()[0]!);
    const names = cluster.logger.decisions.map(entry => entry.name);
    expect(names.filter(name => name === 'reservation').length).toBe(1);
    expect(names.filter(name => name === 'cellChoice').length).toBe(1);
  });

  test('are refused when the request is cancelled', async () => {
    await startCluster();
    instances.forEach(instance =>
      cluster.reachability.set(instance.id, 'silent'),
    );
    const controller = new AbortController();
    const from = nonOwners()[0]!;
    const work = workEstimate('r1');
    const pending = cluster.broker(from).reserve(work, 'm', controller.signal);
    controller.abort();
    expect((await cluster.runUntilSettled(pending)).kind).toBe('refused');
  });
});
