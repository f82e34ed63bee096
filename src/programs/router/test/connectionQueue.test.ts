import {Socket} from 'node:net';

import {describe, expect, it} from 'vitest';

import {FakeClock} from '../../../../test/support/fakeClock.js';
import {FakeEventLoop} from '../../../../test/support/fakeEventLoop.js';
import {ConnectionQueue} from '../connectionQueue.js';

/** Connections that an event loop accepts late. */

const LATE_MILLISECONDS = 700;

interface Harness {
  readonly clock: FakeClock;
  readonly eventLoop: FakeEventLoop;
  readonly queue: ConnectionQueue;
  readonly handedOver: readonly number[];
  /** Opens connections numbered from 0. */
  readonly connect: (count: number) => readonly Socket[];
  readonly read: () => Promise<void>;
}

function createHarness(latenessMilliseconds: number): Harness {
  const clock = new FakeClock();
  const eventLoop = new FakeEventLoop(clock);
  eventLoop.latenessMilliseconds = latenessMilliseconds;
  const sockets: Socket[] = [];
  const handedOver: number[] = [];
  const queue = new ConnectionQueue(clock, eventLoop, socket =>
    handedOver.push(sockets.indexOf(socket)),
  );
  return {
    clock,
    eventLoop,
    queue,
    handedOver,
    connect: count => {
      for (let index = 0; index < count; index++) {
        const socket = new Socket();
        sockets.push(socket);
        queue.add(socket);
      }
      return sockets;
    },
    read: async () => {
      eventLoop.read();
      await new Promise(resolve => setImmediate(resolve));
    },
  };
}

describe('connections that are accepted', () => {
  it.each([
    {
      name: 'on time',
      lateness: 0,
      after: [
        [0, 1, 2],
        [0, 1, 2],
      ],
    },
    {name: 'late', lateness: LATE_MILLISECONDS, after: [[], [2], [2, 1]]},
  ])('$name are read in the order $after', async ({lateness, after}) => {
    const {connect, handedOver, read} = createHarness(lateness);
    connect(3);
    const orders = [[...handedOver]];
    for (let round = 1; round < after.length; round++) {
      await read();
      orders.push([...handedOver]);
    }
    expect(orders).toEqual(after);
  });

  it('tell how long their first request may have waited', async () => {
    const {clock, connect, queue, read} = createHarness(LATE_MILLISECONDS);
    const openedAt = clock.monotonicMilliseconds() - LATE_MILLISECONDS;
    const [socket] = connect(1);
    await read();
    expect(queue.takeConnectedAfter(socket!)).toBe(openedAt);
    expect(queue.takeConnectedAfter(socket!)).toBeUndefined();
  });

  it.each([
    {
      name: 'are all read when no more are accepted',
      all: 'releaseAll',
      read: 3,
    },
    {name: 'are closed with the listener', all: 'closeAll', read: 0},
  ] as const)('$name', async ({all, read}) => {
    const harness = createHarness(LATE_MILLISECONDS);
    const sockets = harness.connect(3);
    harness.queue[all]();
    await harness.read();
    expect(harness.handedOver).toHaveLength(read);
    expect(sockets.map(({destroyed}) => destroyed)).toEqual(
      Array(3).fill(read === 0),
    );
  });
});
