import {describe, expect, it} from 'vitest';

import {FakeClock} from '../../../../test/support/fakeClock.js';
import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {CallerListener} from '../callerListener.js';
import {GracefulStop, StoppingComponents} from '../gracefulStop.js';

/** When a stop ends, and what becomes of requests that are taken meanwhile. */

const STOP_MILLISECONDS = 8_000;

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
class StopHarness {
  readonly clock = new FakeClock();
  readonly requests = new Work();
  readonly responses = new Work();
  readonly tunnels = new Work();
  /** Requests that were ended since the time was up; undefined while none was. */
  endedRequests: number | undefined;
  hasEnded = false;

  start(): void {
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
      STOP_MILLISECONDS,
    );
    void stop.run().then(() => (this.hasEnded = true));
  }
}

describe('a graceful stop', () => {
  it.each([
    {first: 'a tunnel', isTunnel: true},
    {first: 'an unwritten response', isTunnel: false},
  ])(
    'does not cut off a request that was taken while it waited for $first only',
    async ({isTunnel}) => {
      const harness = new StopHarness();
      const {clock, requests, responses, tunnels} = harness;
      const awaited = isTunnel ? tunnels : responses;
      awaited.count = 1;
      harness.start();
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
});
