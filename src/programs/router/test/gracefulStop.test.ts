import {once} from 'node:events';
import {AddressInfo, connect, createServer, Socket} from 'node:net';

import {describe, expect, it} from 'vitest';

import {blockEventLoop} from '../../../../test/support/blockEventLoop.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {Clock} from '../../../base/common/clock.js';
import {SystemClock} from '../../../base/node/systemClock.js';
import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {CallerListener} from '../callerListener.js';
import {GracefulStop, StoppingComponents} from '../gracefulStop.js';

/** When a stop ends, and what becomes of requests that are taken meanwhile. */

const STOP_MILLISECONDS = 8_000;

/** A stop in real time, and when it ends requests in progress. */
const SHORT_STOP_MILLISECONDS = 1_000;
const SHORT_STOP_END_MILLISECONDS = 600;
const LATE_MILLISECONDS = 100;

const SUSPENDED_MILLISECONDS = 3_000;

/** Something of which a stop waits until none is left. */
class Work {
  count = 0;
  private onIdle: () => void = () => undefined;

  idle(): Promise<void> {
    return this.count === 0
      ? Promise.resolve()
      : new Promise(resolve => (this.onIdle = resolve));
  }

  end(): void {
    this.count = 0;
    this.onIdle();
  }
}

/** A stop with fakes for everything that it acts on. */
class StopHarness<C extends Clock> {
  readonly requests = new Work();
  readonly responses = new Work();
  readonly tunnels = new Work();
  /** Requests that were ended since the time was up; undefined while none was. */
  endedRequests: number | undefined;
  hasEnded = false;

  constructor(
    readonly clock: C,
    private readonly stopMilliseconds = STOP_MILLISECONDS,
  ) {}

  /** Resolves when the stop has ended. */
  async run(): Promise<void> {
    const {clock, requests, responses, tunnels} = this;
    const components = {
      gossip: {exchangeWithAll: async () => undefined},
      layers: {leave: async () => undefined},
      registry: {withdraw: async () => true},
      instances: {state: 'serving'},
      handler: {
        get count() {
          return requests.count;
        },
        beginStop: () => undefined,
        idle: () => requests.idle(),
        endAll: () => (this.endedRequests = requests.count),
      },
      tunnels,
    } as unknown as StoppingComponents;
    const callers = {
      closeAfterResponses: () => undefined,
      closeIdle: () => undefined,
      stopListening: () => undefined,
      get unwrittenCount() {
        return responses.count;
      },
      written: () => responses.idle(),
    } as unknown as CallerListener;
    const stop = new GracefulStop(
      clock,
      new SilentLogger(),
      components,
      callers,
      'instance',
      {
        signalledAt: clock.monotonicMilliseconds(),
        stopMilliseconds: this.stopMilliseconds,
      },
    );
    await stop.run();
    this.hasEnded = true;
  }
}

describe('a graceful stop', () => {
  it.each([
    {first: 'a tunnel', isTunnel: true},
    {first: 'an unwritten response', isTunnel: false},
  ])(
    'does not cut off a request that was taken while it waited for $first only',
    async ({isTunnel}) => {
      const harness = new StopHarness(new FakeClock());
      const {clock, requests, responses, tunnels} = harness;
      const awaited = isTunnel ? tunnels : responses;
      awaited.count = 1;
      void harness.run();
      await clock.advanceAsync(4_000);
      requests.count = 1;
      awaited.end();
      await clock.advanceAsync(1_000);
      expect(harness.hasEnded).toBe(false);
      requests.end();
      await clock.advanceAsync(0);
      expect(harness.endedRequests).toBe(0);
      expect(harness.hasEnded).toBe(true);
    },
  );

  it.each([
    {name: 'is written', writtenAt: 7_700, endedAt: 7_700},
    {
      name: 'would be at the end of the process',
      writtenAt: 9_000,
      endedAt: 7_750,
    },
  ])(
    'waits for a whole response after its time was up until it $name',
    async ({writtenAt, endedAt}) => {
      const harness = new StopHarness(new FakeClock());
      const {clock, responses} = harness;
      responses.count = 1;
      clock.setTimer(writtenAt, () => responses.end());
      void harness.run();
      await clock.advanceAsync(endedAt - 1);
      expect(harness.hasEnded).toBe(false);
      await clock.advanceAsync(1);
      expect(harness.hasEnded).toBe(true);
    },
  );

  it('ends before its process is killed when the machine was suspended for a part of the stop', async () => {
    const harness = new StopHarness(new FakeClock());
    const {clock, requests} = harness;
    requests.count = 1;
    void harness.run();
    await clock.advanceAsync(2_000);
    // The steady clock doesn't count the time for which a machine is suspended, the wall clock does.
    clock.shiftWallClock(SUSPENDED_MILLISECONDS);
    await clock.advanceAsync(
      STOP_MILLISECONDS - SUSPENDED_MILLISECONDS - 2_000,
    );
    expect(harness.hasEnded).toBe(true);
  });

  it('still reads what has arrived when the event loop is late for the end of its time', async () => {
    const harness = new StopHarness(new SystemClock(), SHORT_STOP_MILLISECONDS);
    const server = createServer().listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const upstream = connect(port, '127.0.0.1');
    const [connection] = (await once(server, 'connection')) as [Socket];
    harness.requests.count = 1;
    // While the first part is handled, the rest arrives and the time ends. Timers run before the event loop reads again.
    connection.once('data', () => {
      upstream.write('the rest of the answer');
      blockEventLoop(LATE_MILLISECONDS);
      connection.once('data', () => harness.requests.end());
    });
    const ended = harness.run();
    setTimeout(
      () => upstream.write('an answer'),
      SHORT_STOP_END_MILLISECONDS - LATE_MILLISECONDS / 2,
    );
    await ended;
    expect(harness.endedRequests).toBe(0);
    upstream.destroy();
    server.close();
  });
});
