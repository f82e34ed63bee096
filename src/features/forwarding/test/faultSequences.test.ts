import * as fastCheck from 'fast-check';
import {describe, expect, it} from 'vitest';

import {
  createHarness,
  failUnsent,
  loseResponse,
  refuse,
  respondToOther,
  respondWithError,
  succeed,
  succeedWithoutProof,
} from './forwardingSetup.js';

/** What callers are told under faults of upstreams, in any order. */

describe('under any sequence of faults', () => {
  const steps = fastCheck.array(
    fastCheck.constantFrom(
      succeed,
      respondWithError,
      refuse,
      loseResponse,
      failUnsent,
      succeedWithoutProof,
      respondToOther,
    ),
    {maxLength: 6},
  );
  const targets = fastCheck.constantFrom(
    '/unsafe/',
    '/safe/',
    '/stream/',
    '/once/',
  );

  // Guards against a promise that a request has not run which no upstream made: a faulty one may send any status.
  it.each(
    [408, 421, 429, 503].flatMap(status => [
      {target: '/unsafe/x', status, outcome: 'router 502'},
      {target: '/once/', status, outcome: 'router 502'},
    ]),
  )(
    'a request to $target that is answered $status without more ends as "$outcome"',
    async ({target, status, outcome}) => {
      const harness = createHarness();
      const caller = await harness.send(target);
      harness.connector.last.respond(status);
      await harness.flushPromises();
      expect(caller.outcome).toBe(outcome);
      expect(harness.connector.openedExchanges).toHaveLength(1);
    },
  );

  // Guards against a refusal as not run at the time limit, while the end of the answer is still being checked.
  it.each([
    {target: '/unsafe/x', outcome: 'router 504'},
    {target: '/safe/x', outcome: 'router 504'},
    {target: '/once/', outcome: 'aborted'},
  ])(
    'a request to $target whose answer is still being checked at its time limit ends as "$outcome"',
    async ({target, outcome}) => {
      const harness = createHarness();
      harness.control.reportDelayMilliseconds = Infinity;
      const caller = await harness.send(target, ['deadline', '100']);
      const {last} = harness.connector;
      last.head();
      last.sendEvents(1, 2);
      last.end(false);
      await harness.advance(150);
      expect(caller.outcome).toBe(outcome);
    },
  );

  it('a request that must not be repeated is executed at most once, and "notRun" is reported only if nothing was executed', async () => {
    await fastCheck.assert(
      fastCheck.asyncProperty(targets, steps, async (target, faults) => {
        const harness = createHarness();
        const caller = await harness.send(target);
        const executed: string[] = [];
        for (const fault of faults) {
          if (caller.outcome !== 'open') {
            break;
          }
          const exchange = harness.connector.last;
          if (exchange.hasResponded) {
            // The request waits for a path.
            await harness.advance(100);
            continue;
          }
          if (fault !== refuse && fault !== failUnsent) {
            executed.push(exchange.upstream.id);
          }
          fault(exchange);
          await harness.flushPromises();
        }
        const mayRepeat = target === '/safe/' || target === '/stream/';
        if (!mayRepeat) {
          expect(executed.length).toBeLessThanOrEqual(1);
        }
        if (caller.outcome === 'notRun') {
          expect(executed).toEqual([]);
        }
      }),
      {numRuns: 300},
    );
  });
});
