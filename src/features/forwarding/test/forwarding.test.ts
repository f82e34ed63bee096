import {describe, expect, it} from 'vitest';

import {FakeUpstreamExchange} from './fakeUpstreams.js';
import {
  createHarness,
  failUnsent,
  loseResponse,
  refuse,
  respondEncoded,
  respondToOther,
  respondWithError,
  succeed,
  succeedWithoutProof,
} from './forwardingSetup.js';

/** Admission, and requests to upstreams without an engine. */

describe('admission', () => {
  it.each([
    {
      name: 'a target without a route',
      target: '/none/x',
      headers: [],
      outcome: 'router 404',
    },
    {
      name: 'an unknown key',
      target: '/safe/x',
      headers: ['key', 'wrong'],
      outcome: 'router 401',
    },
    {
      name: 'too long headers',
      target: '/safe/x',
      headers: ['long', 'x'.repeat(20_000)],
      outcome: 'router 431',
    },
    {
      name: 'a public route',
      target: '/public/x',
      headers: ['key', 'wrong'],
      outcome: 'open',
    },
    {name: 'a valid key', target: '/safe/x', headers: [], outcome: 'open'},
  ])('with $name results in "$outcome"', async ({target, headers, outcome}) => {
    const caller = await createHarness().send(target, headers);
    expect(caller.outcome).toBe(outcome);
  });

  it('rejects a body that exceeds the limit', async () => {
    const caller = await createHarness().send(
      '/safe/x',
      [],
      'x'.repeat(4_194_305),
    );
    expect(caller.outcome).toBe('router 413');
  });

  it('refuses a request with a key as not run while the configuration is unconfirmed', async () => {
    const harness = createHarness();
    await harness.advance(4000);
    const caller = await harness.send('/safe/x');
    await harness.advance(300);
    expect(caller.outcome).toBe('notRun');
    expect(harness.connector.openedExchanges).toHaveLength(0);
  });

  it('admits a request if the configuration is confirmed while it waits', async () => {
    const harness = createHarness();
    await harness.advance(4000);
    const caller = await harness.send('/safe/x');
    harness.configuration.confirm(harness.configuration.now());
    await harness.flushPromises();
    harness.connector.last.respond();
    expect(caller.outcome).toBe('upstream 200');
  });

  it('sends the account to the upstream', async () => {
    const harness = createHarness();
    await harness.send('/safe/x');
    expect(harness.connector.last.added).toMatchObject({account: 'account'});
  });
});

interface PlainCase {
  readonly name: string;
  readonly target: string;
  readonly steps: ReadonlyArray<(exchange: FakeUpstreamExchange) => void>;
  readonly outcome: string;
  readonly exchangeCount: number;
}

const plainCases: readonly PlainCase[] = [
  {
    name: 'forwards a response',
    target: '/unsafe/',
    steps: [succeed],
    outcome: 'upstream 200',
    exchangeCount: 1,
  },
  {
    name: 'never retries an unsafe request that may have been executed',
    target: '/unsafe/',
    steps: [loseResponse],
    outcome: 'router 502',
    exchangeCount: 1,
  },
  {
    name: 'reports a refused unsafe request as not run',
    target: '/unsafe/',
    steps: [refuse],
    outcome: 'notRun',
    exchangeCount: 1,
  },
  {
    name: 'retries an unsafe request on another upstream when nothing was sent',
    target: '/unsafe/',
    steps: [failUnsent, succeed],
    outcome: 'upstream 200',
    exchangeCount: 2,
  },
  {
    name: 'forwards the error response to an unsafe request',
    target: '/unsafe/',
    steps: [respondWithError],
    outcome: 'upstream 500',
    exchangeCount: 1,
  },
  {
    name: 'retries a safe request after an error response',
    target: '/safe/',
    steps: [respondWithError, succeed],
    outcome: 'upstream 200',
    exchangeCount: 2,
  },
  {
    name: 'retries a safe request whose response was lost',
    target: '/safe/',
    steps: [loseResponse, succeed],
    outcome: 'upstream 200',
    exchangeCount: 2,
  },
  {
    name: 'forwards the last error response when a safe request has no attempts left',
    target: '/safe/',
    steps: [respondWithError, respondWithError],
    outcome: 'upstream 500',
    exchangeCount: 2,
  },
  {
    name: 'does not report a safe request as not run after a lost response',
    target: '/safe/',
    steps: [loseResponse, refuse],
    outcome: 'router 502',
    exchangeCount: 2,
  },
  {
    name: 'forwards no success without proof of execution',
    target: '/unsafe/',
    steps: [succeedWithoutProof],
    outcome: 'router 502',
    exchangeCount: 1,
  },
  {
    name: 'forwards no response to another request',
    target: '/unsafe/',
    steps: [respondToOther],
    outcome: 'router 502',
    exchangeCount: 1,
  },
  {
    name: 'forwards no encoded body',
    target: '/safe/',
    steps: [respondEncoded, succeed],
    outcome: 'upstream 200',
    exchangeCount: 2,
  },
];

describe('PlainForwarder', () => {
  it.each(plainCases)(
    '$name',
    async ({target, steps, outcome, exchangeCount}) => {
      const harness = createHarness();
      const caller = await harness.send(target);
      for (const step of steps) {
        step(harness.connector.last);
        await harness.flushPromises();
      }
      expect(caller.outcome).toBe(outcome);
      expect(harness.connector.openedExchanges).toHaveLength(exchangeCount);
    },
  );

  it('fails with 504 when the timeout of the route has passed', async () => {
    const harness = createHarness();
    const caller = await harness.send('/unsafe/');
    await harness.advance(999);
    expect(caller.outcome).toBe('open');
    await harness.advance(2);
    expect(caller.outcome).toBe('router 504');
    expect(harness.connector.last.isDisposed).toBe(true);
  });

  it('closes its exchanges when the caller disconnects', async () => {
    const harness = createHarness();
    const caller = await harness.send('/safe/');
    caller.leave();
    await harness.flushPromises();
    expect(
      harness.connector.openedExchanges.every(({isDisposed}) => isDisposed),
    ).toBe(true);
  });

  it('starts a second attempt in parallel to a slow one if the request is safe to repeat', async () => {
    const harness = createHarness();
    const caller = await harness.send('/safe/');
    await harness.advance(110);
    expect(harness.connector.openedExchanges).toHaveLength(2);
    harness.connector.last.respond();
    expect(caller.outcome).toBe('upstream 200');
    expect(harness.connector.openedExchanges[0]!.isDisposed).toBe(true);
  });
});

describe('a response that ends with its connection', () => {
  it.each([
    {target: '/unsafe/', isAlive: true, outcome: 'upstream 200'},
    {target: '/unsafe/', isAlive: false, outcome: 'router 502'},
    {target: '/once/', isAlive: true, outcome: 'stream'},
    {target: '/once/', isAlive: false, outcome: 'aborted'},
  ])(
    'to $target results in "$outcome" if its upstream is still alive: $isAlive',
    async ({target, isAlive, outcome}) => {
      const harness = createHarness();
      const caller = await harness.send(target);
      const {last} = harness.connector;
      if (!isAlive) {
        harness.control.unreachableIds.add(last.upstream.id);
      }
      last.head();
      last.sendEvents(1, 2);
      last.end(false);
      await harness.flushPromises();
      expect(caller.outcome).toBe(outcome);
    },
  );
});

describe('a response that ends with its connection through a peer', () => {
  it.each([
    {target: '/unsafe/', outcome: 'router 502'},
    {target: '/once/', outcome: 'aborted'},
  ])(
    'to $target results in "$outcome", since the peer may have ended',
    async ({target, outcome}) => {
      const harness = createHarness();
      const caller = await harness.send(target);
      const {last} = harness.connector;
      harness.links.recordTest(last.upstream.address, {
        isDirect: false,
        isRelayed: true,
      });
      last.head();
      last.sendEvents(1, 2);
      last.end(false);
      await harness.flushPromises();
      expect(caller.outcome).toBe(outcome);
    },
  );
});
