import {Socket} from 'node:net';

import {describe, expect, it} from 'vitest';

import {FakeClock} from '../../../../test/support/fakeClock.js';
import {EventLoop, isLoopLate} from '../../../base/common/eventLoop.js';
import {ArrivalQueue} from '../../../features/forwarding/common/arrivalQueue.js';
import {ConnectionQueue} from '../connectionQueue.js';

/** Which callers instances serve whose processes run a part of the time; the traffic of a whole installation is divided among them. */

const REQUESTS_PER_SECOND = 910;
const PATIENCE_MILLISECONDS = 500;
const SECONDS = 8;
/** Longest wait of a poll for input. */
const IDLE_MILLISECONDS = 10;

/** Processor time of a cold process. */
const POLL_MILLISECONDS = 0.05;
const ACCEPT_MILLISECONDS = 0.03;
const READ_MILLISECONDS = 0.4;
const FORWARD_MILLISECONDS = 0.7;

interface Share {
  readonly run: number;
  readonly period: number;
}

/** The event loop of a process that is held for the rest of each period, with one connection for each request. */
class HeldLoop extends EventLoop {
  override readUntil = 0;
  served = 0;
  sentLate = 0;
  private readonly clock = new FakeClock();
  private readonly startedAt = this.clock.monotonicMilliseconds();
  private readonly arrivals = new ArrivalQueue(this);
  private readonly arrivedAt = new Map<Socket, number>();
  private readonly unread: Socket[] = [];
  private readonly connections = new ConnectionQueue(this.clock, this, socket =>
    this.unread.push(socket),
  );
  private nextArrivalAt: number;
  private acceptedCount = 0;
  private readonly waiters: Array<() => void> = [];

  constructor(
    private readonly share: Share,
    private readonly intervalMilliseconds: number,
    firstArrivalMilliseconds: number,
  ) {
    super();
    this.readUntil = this.startedAt;
    this.nextArrivalAt = this.startedAt + firstArrivalMilliseconds;
  }

  private get now(): number {
    return this.clock.monotonicMilliseconds();
  }

  async play(): Promise<void> {
    while (this.now < this.startedAt + SECONDS * 1000) {
      this.runTurn();
      this.waiters.splice(0).forEach(resolve => resolve());
      await new Promise(resolve => setImmediate(resolve));
    }
  }

  override nextPoll(): Promise<void> {
    return new Promise(resolve => this.waiters.push(resolve));
  }

  override async readAll(): Promise<void> {
    let acceptedBefore: number;
    do {
      acceptedBefore = this.acceptedCount;
      await this.nextPoll();
    } while (this.acceptedCount > acceptedBefore);
    await this.nextPoll();
  }

  /** Reads what was handed over and accepts the oldest connection that waits. */
  private runTurn(): void {
    const polledAt = this.now;
    this.work(POLL_MILLISECONDS);
    if (this.unread.length === 0 && this.waiters.length === 0) {
      this.work(Math.min(IDLE_MILLISECONDS, this.nextArrivalAt - this.now));
    }
    this.unread.splice(0).forEach(socket => void this.serve(socket));
    if (this.nextArrivalAt > this.now) {
      this.readUntil = polledAt;
      return;
    }
    this.work(ACCEPT_MILLISECONDS);
    this.acceptedCount++;
    const socket = new Socket();
    this.arrivedAt.set(socket, this.nextArrivalAt);
    this.nextArrivalAt += this.intervalMilliseconds;
    this.connections.add(socket);
  }

  private async serve(socket: Socket): Promise<void> {
    this.work(READ_MILLISECONDS);
    const receivedAt = this.now;
    const connectedAfter = this.connections.takeConnectedAfter(socket);
    const arrivedAt = this.arrivals.earliestArrival({
      receivedAt,
      connectedAfter,
    });
    const leavesAt = this.arrivedAt.get(socket)! + PATIENCE_MILLISECONDS;
    let polledAt = this.now;
    await this.arrivals.turn(
      arrivedAt < receivedAt,
      () => (polledAt = this.now) >= leavesAt,
    );
    this.work(FORWARD_MILLISECONDS);
    if (isLoopLate(this.clock, this, polledAt)) {
      await this.nextPoll();
      polledAt = this.now;
    }
    if (polledAt >= leavesAt) {
      return;
    }
    this.served += this.now < leavesAt ? 1 : 0;
    this.sentLate += this.now > leavesAt + PATIENCE_MILLISECONDS ? 1 : 0;
  }

  /** Takes processor time; the process is held when its part of the period is over. */
  private work(milliseconds: number): void {
    this.clock.advance(Math.max(0, milliseconds));
    const inPeriod = (this.now - this.startedAt) % this.share.period;
    if (inPeriod > this.share.run) {
      this.clock.advance(this.share.period - inPeriod);
    }
  }
}

/** Plays all instances of an installation; a third of them is held. */
async function play(count: number, share: Share): Promise<readonly Played[]> {
  const interval = (count * 1000) / REQUESTS_PER_SECOND;
  return Promise.all(
    Array.from({length: count}, async (_, index) => {
      const isHeld = index % 3 === 0;
      const loop = new HeldLoop(
        isHeld ? share : {run: 1, period: 1},
        interval,
        (interval * index) / count,
      );
      await loop.play();
      return {isHeld, loop, sent: Math.floor((SECONDS * 1000) / interval)};
    }),
  );
}

interface Played {
  readonly isHeld: boolean;
  readonly loop: HeldLoop;
  /** Requests of its callers, give or take one. */
  readonly sent: number;
}

/** Half of what the time of a held process serves, or half of the callers whom it can still find waiting. */
function leastServed({run, period}: Share, sent: number): number {
  const cost = ACCEPT_MILLISECONDS + READ_MILLISECONDS + FORWARD_MILLISECONDS;
  const timeMilliseconds = (SECONDS * 1000 * run) / period;
  const findable = Math.min(1, (run + PATIENCE_MILLISECONDS) / period) * sent;
  return Math.floor(Math.min(timeMilliseconds / cost, findable) / 2);
}

describe.each([
  {run: 30, period: 330},
  {run: 60, period: 1_060},
])('of instances that run $run of $period ms', share => {
  it.each([3, 7, 19, 370])(
    'a third of %i serves what its time allows and no caller that has left, and the others serve all',
    async count => {
      const played = await play(count, share);
      const faults = played.filter(
        ({isHeld, loop, sent}) =>
          loop.sentLate > 0 ||
          loop.served < (isHeld ? leastServed(share, sent) : sent - 1),
      );
      expect(
        faults.map(({isHeld, sent, loop: {served, sentLate}}) => ({
          isHeld,
          sent,
          served,
          sentLate,
        })),
      ).toEqual([]);
    },
  );
});
