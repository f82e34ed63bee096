import {expect, test} from 'vitest';

import {failure, success} from '../../../base/common/result.js';
import {ClaimDecision} from '../../claims/common/claims.js';
import {maybeExecuted} from '../common/failureBody.js';
import {requestChart} from '../common/requestLifecycle.js';
import {
  CallerFixture,
  chatBody,
  chatPath,
  QuickClock,
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

/** Runs on until it is cancelled, then ends as given. */
function untilCancelled(end: Script): Script {
  return (request, sink, token) =>
    new Promise(resolve =>
      token.onDidCancel(() => resolve(end(request, sink, token))),
    );
}

const whole: Script = async request => success(replyOf(request, ['x']));

const outcomeCases: readonly OutcomeCase[] = [
  ['a whole reply', whole, 200, {kind: 'completed', status: 200}],
  [
    'a failure',
    async () => failure(lost),
    502,
    {kind: 'failed', failure: lost},
  ],
  [
    'a fault of our own',
    () => Promise.reject(new Error('fault')),
    502,
    {kind: 'failed', failure: {executed: 'unknown'}},
  ],
  [
    'past the deadline, with what the work says of itself',
    untilCancelled(async () =>
      failure({...lost, error: {kind: 'callerGone'}, executed: 'no'}),
    ),
    504,
    {
      kind: 'failed',
      failure: {error: {kind: 'deadlineExceeded'}, executed: 'no'},
    },
  ],
  [
    'past the deadline, work that never ends',
    () => new Promise(() => undefined),
    504,
    {
      kind: 'failed',
      failure: {error: {kind: 'deadlineExceeded'}, executed: 'unknown'},
    },
  ],
];

test.each(outcomeCases)(
  'recorded once: %s',
  async (_name, script, status, recorded) => {
    const fixture = await new CallerFixture(new QuickClock()).start();
    fixture.driver.script = script;
    const response = await fixture.send(chatPath, order, chatBody());
    expect(response.status).toBe(status);
    await expect.poll(() => fixture.gate.count).toBe(0);
    expect(fixture.claims.completed).toMatchObject([recorded]);
    await fixture.server.close();
  },
);

test('a claim granted after the caller left is recorded as not run', async () => {
  const fixture = await new CallerFixture().start();
  const leaving = new AbortController();
  let grant: (decision: ClaimDecision) => void = () => undefined;
  const cancelled = new Promise<void>(resolve => {
    fixture.claims.claim = (_account, _key, token) => {
      token.onDidCancel(resolve);
      leaving.abort();
      return new Promise(settle => (grant = settle));
    };
  });
  await expect(
    fixture.send(chatPath, order, chatBody(), leaving.signal),
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

test('every state of the chart that has work in it can be given up and left by the caller', () => {
  for (const state of ['claiming', 'admitted', 'streaming'] as const) {
    const givenUp = requestChart.next(state, 'givenUp');
    expect(givenUp.state).toBe('failed');
    expect(givenUp.actions[0]).toBe('cancelWork');
    const left = requestChart.next(state, 'callerGone');
    expect(left).toMatchObject({state: 'cancelled', actions: ['cancelWork']});
  }
  for (const state of ['failed', 'cancelled'] as const) {
    expect(requestChart.next(state, 'granted').actions).toEqual([
      'recordNotRun',
    ]);
  }
});
