import {expect, test} from 'vitest';

import {failure, success} from '../../../base/common/result.js';
import {ClaimDecision} from '../../claims/common/claimService.js';
import {maybeExecuted} from '../common/failureBody.js';
import {requestChart} from '../common/requestLifecycle.js';
import {
  CallerFixture,
  chatBody,
  chatPath,
  AcceleratedClock,
  replyOf,
} from './callerFakes.js';

const order = {'Redwing-Class': 'order', 'Idempotency-Key': 'key-1'};
const lost = maybeExecuted({kind: 'upstreamFailed', detail: 'lost'});

type Script = CallerFixture['driver']['script'];

type OutcomeCase = readonly [
  name: string,
  script: Script,
  status: number,
  recorded: Record<string, unknown>,
];

/** Runs until it is cancelled, then ends with the given script. */
function endWhenCancelled(end: Script): Script {
  return (request, sink, token) =>
    new Promise(resolve =>
      token.onDidCancel(() => resolve(end(request, sink, token))),
    );
}

const completeReply: Script = async request => success(replyOf(request, ['x']));

const outcomeCases: readonly OutcomeCase[] = [
  ['a complete reply', completeReply, 200, {kind: 'completed', status: 200}],
  [
    'a failure',
    async () => failure(lost),
    502,
    {kind: 'failed', failure: lost},
  ],
  [
    'an internal error',
    () => Promise.reject(new Error('fault')),
    502,
    {kind: 'failed', failure: {executed: 'unknown'}},
  ],
  [
    'work past its deadline that reports whether it ran',
    endWhenCancelled(async () =>
      failure({...lost, error: {kind: 'callerGone'}, executed: 'no'}),
    ),
    504,
    {
      kind: 'failed',
      failure: {error: {kind: 'deadlineExceeded'}, executed: 'no'},
    },
  ],
  [
    'work past its deadline that never ends',
    () => new Promise(() => undefined),
    504,
    {
      kind: 'failed',
      failure: {error: {kind: 'deadlineExceeded'}, executed: 'unknown'},
    },
  ],
];

test.each(outcomeCases)(
  '%s is recorded as the outcome exactly once',
  async (_name, script, status, recorded) => {
    const fixture = await new CallerFixture(new AcceleratedClock()).start();
    fixture.driver.script = script;
    const response = await fixture.send(chatPath, order, chatBody());
    expect(response.status).toBe(status);
    await expect.poll(() => fixture.gate.count).toBe(0);
    expect(fixture.claims.completed).toMatchObject([recorded]);
    await fixture.server.close();
  },
);

test('a claim that is granted after the caller disconnected is recorded as not run', async () => {
  const fixture = await new CallerFixture().start();
  const callerAbort = new AbortController();
  let grant: (decision: ClaimDecision) => void = () => undefined;
  const cancelled = new Promise<void>(resolve => {
    fixture.claims.claim = (_account, _key, token) => {
      token.onDidCancel(resolve);
      callerAbort.abort();
      return new Promise(settle => (grant = settle));
    };
  });
  await expect(
    fixture.send(chatPath, order, chatBody(), callerAbort.signal),
  ).rejects.toThrow();
  await cancelled;
  grant({kind: 'granted'});
  await expect.poll(() => fixture.gate.count).toBe(0);
  expect(fixture.driver.requests).toHaveLength(0);
  expect(fixture.claims.completed).toMatchObject([
    {kind: 'failed', failure: {executed: 'no'}},
  ]);
  await fixture.server.close();
});

test('every state with work in progress handles an abort and a disconnect of the caller', () => {
  for (const state of ['claiming', 'admitted', 'streaming'] as const) {
    const givenUp = requestChart.next(state, 'givenUp');
    expect(givenUp.state).toBe('failed');
    expect(givenUp.actions[0]).toBe('cancelWork');
    const disconnected = requestChart.next(state, 'callerGone');
    expect(disconnected).toMatchObject({
      state: 'cancelled',
      actions: ['cancelWork'],
    });
  }
  for (const state of ['failed', 'cancelled'] as const) {
    expect(requestChart.next(state, 'granted').actions).toEqual([
      'recordNotRun',
    ]);
  }
});
