import {createServer} from 'node:http';
import {AddressInfo} from 'node:net';

import {afterEach, expect, test} from 'vitest';

import {neverCancelled} from '../../../base/common/cancellation.js';
import {DisposableStore} from '../../../base/common/lifecycle.js';
import {SeededRandomSource} from '../../../base/common/randomSource.js';
import {SystemClock} from '../../../base/node/systemClock.js';
import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {SilentMetrics} from '../../../infrastructure/metrics/common/metrics.js';
import {serveRpc} from '../../../infrastructure/rpc/node/rpc.js';
import {CellMap} from '../common/cellMap.js';
import {createCellRouter} from '../node/cellRouter.js';
import {DefaultCapacityBroker} from '../node/defaultCapacityBroker.js';
import {
  engineMember,
  FakeEngines,
  FakeViews,
  instanceMember,
  systemView,
  workEstimate,
} from './routingFakes.js';

const owned = new DisposableStore();

afterEach(() => owned.dispose());

async function freeAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return `127.0.0.1:${port}`;
}

test('a request is reserved, replanned, reported and released over the peer address', async () => {
  const engines = ['e1', 'e2', 'e3'].map(id => engineMember(id));
  const members = [
    instanceMember('i1', {entryPeerAddress: await freeAddress()}),
    instanceMember('i2', {entryPeerAddress: await freeAddress()}),
  ];
  const view = systemView(members, engines);
  const connector = new FakeEngines();
  engines.forEach(({id}) => connector.set(id));
  const brokers = members.map(member => {
    const views = new FakeViews();
    views.set(view);
    return owned.add(
      new DefaultCapacityBroker({
        views,
        connector,
        clock: new SystemClock(),
        random: new SeededRandomSource(1),
        logger: new SilentLogger(),
        metrics: new SilentMetrics(),
        peerKey: 'key',
        instanceId: member.id,
        incarnation: 'a',
        place: member,
        cellSize: 8,
      }),
    );
  });
  for (const [index, member] of members.entries()) {
    const router = createCellRouter(brokers[index]!.cells);
    owned.add(await serveRpc(router, member.entryPeerAddress, 'key'));
  }
  const owner = CellMap.of(view, 8).ownersOf('north-1/0', 1)[0]!.id;
  const requester = brokers[members.findIndex(member => member.id !== owner)]!;
  const {signal} = neverCancelled;
  const work = workEstimate('r1');
  const first = await requester.reserve(work, 'm', signal);
  if (first.kind !== 'reserved') {
    throw new Error(first.reason);
  }
  const {reservation} = first;
  expect(reservation.reservationId.endsWith(`@${owner}`)).toBe(true);
  expect(reservation.stages[0]!.checksFencing).toBe(true);

  const {upstream} = reservation.stages[0]!;
  const outcome = 'failed' as const;
  const decodeMilliseconds = undefined;
  const linkMilliseconds = 0.5;
  const failed = {
    upstream,
    outcome,
    decodeMilliseconds,
    linkMilliseconds,
    steps: 3,
  };
  requester.reportFailure(reservation, failed);
  const next = await requester.replan(
    reservation,
    work,
    'm',
    [upstream],
    signal,
  );
  if (next.kind !== 'reserved') {
    throw new Error(next.reason);
  }
  expect(next.reservation.stages[0]!.upstream).not.toBe(upstream);
  requester.release(next.reservation, [failed]);
  const again = await requester.reserve(workEstimate('r2'), 'm', signal);
  expect(again.kind).toBe('reserved');
});
