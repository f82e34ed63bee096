import fc from 'fast-check';
import {describe, expect, test} from 'vitest';

import {
  CancellationSource,
  neverCancelled,
} from '../../../base/common/cancellation.js';
import {Result} from '../../../base/common/result.js';
import {
  ServiceError,
  ServiceResponse,
} from '../../../infrastructure/service/common/serviceConnection.js';
import {ServiceCallRequest} from '../../callers/common/serviceDispatcher.js';
import {RequestFailure} from '../../requests/common/failure.js';
import {LatencyWindow} from '../common/latencyWindow.js';
import {isCallRepeatable} from '../common/repeatability.js';
import {RetryBudget} from '../common/retryBudget.js';
import {
  ReplicaBehaviour,
  createCall,
  repeatableCall,
  ServiceHarness,
  stockService,
} from './serviceHarness.js';

const SEED = 20260115;

async function dispatch(
  harness: ServiceHarness,
  request: ServiceCallRequest,
): Promise<Result<ServiceResponse, RequestFailure>> {
  const result = harness.dispatcher().dispatch(request, neverCancelled);
  await harness.clock.advanceAsync(10_000);
  return result;
}

function summary(result: Result<ServiceResponse, RequestFailure>): string {
  return result.ok
    ? 'answered'
    : `${result.error.error.kind} ${result.error.executed}`;
}

describe('repeatability of a call', () => {
  test.each([
    {method: 'GET', path: '/levels', expected: true},
    {method: 'get', path: '/levels', expected: true},
    {method: 'GET', path: '/reserve/7', expected: false},
    {method: 'POST', path: '/quotes', expected: true},
    {method: 'POST', path: '/orders', expected: false},
    {method: 'DELETE', path: '/', expected: false},
  ])('is $expected for $method $path', ({method, path, expected}) => {
    expect(isCallRepeatable(stockService, method, path)).toBe(expected);
    expect(isCallRepeatable(undefined, method, path)).toBe(false);
  });
});

type Case = readonly [
  name: string,
  request: ServiceCallRequest,
  replies: readonly ReplicaBehaviour[],
  replicas: number,
  expected: string,
  sent: number,
];

const order = createCall();
const wronglyRepeatable = createCall({
  method: 'GET',
  path: '/reserve/7',
  repeatable: true,
});

const expiredCall = createCall({deadlineAt: 0});
const callWithoutKey = createCall({idempotencyKey: undefined});
const safeCall = repeatableCall;
const lostTwice = ['lostAfter', 'lostAfter'] as const;

const deadlineUnknown = 'deadlineExceeded unknown';
const upstreamFailedUnknown = 'upstreamFailed unknown';
const upstreamFailedNotRun = 'upstreamFailed no';

const cases: readonly Case[] = [
  ['success', order, ['ok'], 2, 'answered', 1],
  ['unreachable, then success', order, ['unreachable', 'ok'], 2, 'answered', 2],
  ['refused, then success', order, ['refused', 'ok'], 2, 'answered', 2],
  [
    'all replicas unreachable',
    order,
    ['unreachable', 'unreachable'],
    2,
    upstreamFailedNotRun,
    2,
  ],
  ['no replica', order, [], 0, 'noUpstream no', 0],
  [
    'response lost before execution',
    order,
    ['lostBefore'],
    2,
    upstreamFailedUnknown,
    1,
  ],
  [
    'response lost after execution',
    order,
    ['lostAfter'],
    2,
    upstreamFailedUnknown,
    1,
  ],
  [
    'response to another request',
    order,
    ['mismatch'],
    2,
    upstreamFailedUnknown,
    1,
  ],
  [
    'refused, then response lost',
    order,
    ['refused', 'lostAfter'],
    3,
    upstreamFailedUnknown,
    2,
  ],
  ['no response until the deadline', order, ['silent'], 2, deadlineUnknown, 1],
  [
    'deadline passed before sending',
    expiredCall,
    [],
    2,
    'deadlineExceeded no',
    0,
  ],
  ['no idempotency key', callWithoutKey, [], 2, 'invalidRequest no', 0],
  [
    'not repeatable by the longest prefix',
    wronglyRepeatable,
    ['lostBefore'],
    2,
    upstreamFailedUnknown,
    1,
  ],
  [
    'repeatable, response lost, then success',
    safeCall,
    ['lostAfter', 'ok'],
    2,
    'answered',
    2,
  ],
  [
    'repeatable, response lost at every replica',
    safeCall,
    lostTwice,
    2,
    upstreamFailedUnknown,
    2,
  ],
];

test.each(cases)(
  'a call ends as expected after: %s',
  async (...[, request, replies, replicas, expected, sent]) => {
    const harness = new ServiceHarness(replies, replicas);
    const result = await dispatch(harness, request);
    expect(summary(result)).toBe(expected);
    expect(harness.sent).toBe(sent);
    expect(harness.released).toHaveLength(sent);
    expect(harness.clock.pendingTimerCount).toBe(0);
  },
);

test('a resubmitted call gets the recorded response and is not sent', async () => {
  const harness = new ServiceHarness([], 2);
  const dispatcher = harness.dispatcher();
  const first = await dispatcher.dispatch(order, neverCancelled);
  const second = await dispatcher.dispatch(order, neverCancelled);
  expect([first.ok, second.ok, harness.sent]).toEqual([true, true, 1]);
  expect(harness.claims.fingerprint).toBe(order.fingerprint);
});

test.each([
  {
    decision: {kind: 'undecided', detail: '', retryAfterMilliseconds: 9},
    expected: 'claimUndecided unknown',
  },
  {
    decision: {kind: 'heldElsewhere', incarnation: 'other', outcome: undefined},
    expected: 'heldElsewhere unknown',
  },
  {
    decision: {kind: 'refusedNotRun', detail: ''},
    expected: 'invalidRequest no',
  },
  {
    decision: {kind: 'duplicate', outcome: {kind: 'unknown'}},
    expected: 'duplicate unknown',
  },
] as const)(
  'nothing is sent if the claim is $decision.kind',
  async testCase => {
    const harness = new ServiceHarness([], 2);
    harness.claims.decision = testCase.decision;
    expect(summary(await dispatch(harness, order))).toBe(testCase.expected);
    expect(harness.sent).toBe(0);
  },
);

test.each([
  {request: order, claimed: false},
  {request: wronglyRepeatable, claimed: true},
  {request: repeatableCall, claimed: false},
])(
  'with a claiming handler, the dispatcher claims the key of $request.path: $claimed',
  async testCase => {
    const harness = new ServiceHarness([], 2);
    await harness
      .dispatcher('handler')
      .dispatch(testCase.request, neverCancelled);
    expect(harness.claims.outcomes.size).toBe(testCase.claimed ? 1 : 0);
  },
);

test('a repeatable call that exceeds the 95th percentile is hedged on a second replica', async () => {
  const successes: readonly ReplicaBehaviour[] = Array(30).fill('ok');
  const harness = new ServiceHarness([...successes, 'silent', 'ok'], 2);
  const dispatcher = harness.dispatcher();
  for (let count = 0; count < 30; count++) {
    await dispatcher.dispatch(repeatableCall, neverCancelled);
  }
  const pendingCall = dispatcher.dispatch(repeatableCall, neverCancelled);
  await harness.clock.advanceAsync(5);
  const result = await pendingCall;
  expect(result).toMatchObject({ok: true, value: {body: 'r1'}});
  expect(harness.released.slice(-2).sort()).toEqual([
    'r0 completed',
    'r1 completed',
  ]);
});

test('nothing more is sent after the caller disconnects', async () => {
  const harness = new ServiceHarness(['refused'], 2);
  const source = new CancellationSource();
  const call = harness.dispatcher().dispatch(order, source.token);
  await harness.clock.advanceAsync(0);
  source.cancel('gone');
  expect(summary(await call)).toBe('callerGone no');
  await harness.clock.advanceAsync(10_000);
  expect([harness.sent, harness.executions]).toEqual([1, 0]);
});

test('each call writes one decision line', async () => {
  const harness = new ServiceHarness(['unreachable', 'ok'], 2);
  const [first, second] = ['r0', 'r1'].map(upstream => ({
    upstream,
    address: upstream,
  }));
  await dispatch(harness, order);
  expect(harness.decisions).toMatchObject([
    {
      requestId: 'request',
      clientAccount: 'desk',
      executed: 'yes',
      attempts: [
        {...first, reason: 'first', outcome: 'unreachable', candidates: 2},
        {...second, reason: 'retry', outcome: 'completed', candidates: 1},
      ],
    },
  ]);
  expect(JSON.stringify(harness.decisions)).not.toContain('"key"');
});

test('retries are limited to a fraction of successful calls', () => {
  const budget = new RetryBudget(0.1, 2);
  const permissions = [
    budget.tryTakeRetry(),
    budget.tryTakeRetry(),
    budget.tryTakeRetry(),
  ];
  expect(permissions).toEqual([true, true, false]);
  for (let count = 0; count < 11; count++) {
    budget.recordSuccess();
  }
  expect([budget.tryTakeRetry(), budget.tryTakeRetry()]).toEqual([true, false]);
});

test('the 95th percentile is taken over the latest calls only', () => {
  const window = new LatencyWindow();
  for (let value = 1; value <= 1000; value++) {
    window.add(value);
  }
  expect(window.percentile95).toBe(990);
});

const behaviour = fc.constantFrom<ReplicaBehaviour>(
  'ok',
  'unreachable',
  'refused',
  'lostBefore',
  'lostAfter',
  'mismatch',
  'silent',
);

function atMostOnceProperty(mapError?: (error: ServiceError) => ServiceError) {
  return fc.asyncProperty(
    fc.array(behaviour, {maxLength: 8}),
    fc.integer({min: 0, max: 4}),
    fc.integer({min: 1, max: 3}),
    async (replies, replicas, submissions) => {
      const harness = new ServiceHarness(replies, replicas, mapError);
      const dispatcher = harness.dispatcher();
      let notRun = 0;
      for (let count = 0; count < submissions; count++) {
        const deadlineAt = harness.clock.monotonicMilliseconds() + 1000;
        const call = dispatcher.dispatch(
          createCall({deadlineAt}),
          neverCancelled,
        );
        await harness.clock.advanceAsync(2000);
        const result = await call;
        notRun += !result.ok && result.error.executed === 'no' ? 1 : 0;
      }
      const isNeverRun = notRun === submissions;
      return harness.executions <= 1 && !(isNeverRun && harness.executions > 0);
    },
  );
}

test('a call that must not be repeated runs at most once and never ran if all failures state executed no', async () => {
  await fc.assert(atMostOnceProperty(), {numRuns: 300, seed: SEED});
});

test('the at-most-once property fails if a lost response is treated as a refusal', async () => {
  const lostAsRefused = (error: ServiceError): ServiceError =>
    error.kind === 'lost'
      ? {kind: 'refused', retryAfterMilliseconds: 0}
      : error;
  const details = await fc.check(atMostOnceProperty(lostAsRefused), {
    numRuns: 300,
    seed: SEED,
  });
  expect(details.failed).toBe(true);
});
