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
import {mayRepeat} from '../common/repeatability.js';
import {RetryBudget} from '../common/retryBudget.js';
import {
  Behaviour,
  callOf,
  repeatableCall,
  ServiceWorld,
  stock,
} from './serviceWorld.js';

const SEED = 20260115;

async function dispatch(
  world: ServiceWorld,
  request: ServiceCallRequest,
): Promise<Result<ServiceResponse, RequestFailure>> {
  const result = world.dispatcher().dispatch(request, neverCancelled);
  await world.clock.advanceAsync(10_000);
  return result;
}

function summary(result: Result<ServiceResponse, RequestFailure>): string {
  return result.ok
    ? 'answered'
    : `${result.error.error.kind} ${result.error.executed}`;
}

describe('repeatability', () => {
  test.each([
    {method: 'GET', path: '/levels', expected: true},
    {method: 'get', path: '/levels', expected: true},
    {method: 'GET', path: '/reserve/7', expected: false},
    {method: 'POST', path: '/quotes', expected: true},
    {method: 'POST', path: '/orders', expected: false},
    {method: 'DELETE', path: '/', expected: false},
  ])('$method $path: $expected', ({method, path, expected}) => {
    expect(mayRepeat(stock, method, path)).toBe(expected);
    expect(mayRepeat(undefined, method, path)).toBe(false);
  });
});

type Case = readonly [
  name: string,
  request: ServiceCallRequest,
  replies: readonly Behaviour[],
  replicas: number,
  expected: string,
  sent: number,
];

const order = callOf();
const misread = callOf({method: 'GET', path: '/reserve/7', repeatable: true});

const due = callOf({deadlineAt: 0});
const keyless = callOf({idempotencyKey: undefined});
const again = repeatableCall;
const lostTwice = ['lostAfter', 'lostAfter'] as const;

const late = 'deadlineExceeded unknown';
const failedUnknown = 'upstreamFailed unknown';
const failedNo = 'upstreamFailed no';

const cases: readonly Case[] = [
  ['served', order, ['ok'], 2, 'answered', 1],
  ['unreachable, then served', order, ['unreachable', 'ok'], 2, 'answered', 2],
  ['refused, then served', order, ['refused', 'ok'], 2, 'answered', 2],
  ['all unreachable', order, ['unreachable', 'unreachable'], 2, failedNo, 2],
  ['no replica', order, [], 0, 'noUpstream no', 0],
  ['lost before it ran', order, ['lostBefore'], 2, failedUnknown, 1],
  ['lost after it ran', order, ['lostAfter'], 2, failedUnknown, 1],
  ['answer to another request', order, ['mismatch'], 2, failedUnknown, 1],
  ['refused, then lost', order, ['refused', 'lostAfter'], 3, failedUnknown, 2],
  ['silent until the deadline', order, ['silent'], 2, late, 1],
  ['due before it was sent', due, [], 2, 'deadlineExceeded no', 0],
  ['without a key', keyless, [], 2, 'invalidRequest no', 0],
  [
    'longest prefix says not repeatable',
    misread,
    ['lostBefore'],
    2,
    failedUnknown,
    1,
  ],
  [
    'repeatable, lost, then served',
    again,
    ['lostAfter', 'ok'],
    2,
    'answered',
    2,
  ],
  ['repeatable, lost everywhere', again, lostTwice, 2, failedUnknown, 2],
];

test.each(cases)(
  '%s',
  async (...[, request, replies, replicas, expected, sent]) => {
    const world = new ServiceWorld(replies, replicas);
    const result = await dispatch(world, request);
    expect(summary(result)).toBe(expected);
    expect(world.sent).toBe(sent);
    expect(world.released).toHaveLength(sent);
    expect(world.clock.pendingTimers).toBe(0);
  },
);

test('a resubmission gets the recorded answer and is not sent', async () => {
  const world = new ServiceWorld([], 2);
  const dispatcher = world.dispatcher();
  const first = await dispatcher.dispatch(order, neverCancelled);
  const second = await dispatcher.dispatch(order, neverCancelled);
  expect([first.ok, second.ok, world.sent]).toEqual([true, true, 1]);
  expect(world.claims.fingerprint).toBe(order.fingerprint);
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
] as const)('claim $decision.kind: nothing is sent', async each => {
  const world = new ServiceWorld([], 2);
  world.claims.decision = each.decision;
  expect(summary(await dispatch(world, order))).toBe(each.expected);
  expect(world.sent).toBe(0);
});

test.each([
  {request: order, claimed: false},
  {request: misread, claimed: true},
  {request: repeatableCall, claimed: false},
])('a handler that claims: $request.path claimed here $claimed', async each => {
  const world = new ServiceWorld([], 2);
  await world.dispatcher('handler').dispatch(each.request, neverCancelled);
  expect(world.claims.outcomes.size).toBe(each.claimed ? 1 : 0);
});

test('a slow repeatable call is tried at a second replica past the 95th percentile', async () => {
  const warm: readonly Behaviour[] = Array(30).fill('ok');
  const world = new ServiceWorld([...warm, 'silent', 'ok'], 2);
  const dispatcher = world.dispatcher();
  for (let count = 0; count < 30; count++) {
    await dispatcher.dispatch(repeatableCall, neverCancelled);
  }
  const slow = dispatcher.dispatch(repeatableCall, neverCancelled);
  await world.clock.advanceAsync(5);
  const result = await slow;
  expect(result).toMatchObject({ok: true, value: {body: 'r1'}});
  expect(world.released.slice(-2).sort()).toEqual([
    'r0 completed',
    'r1 completed',
  ]);
});

test('a caller that goes away: nothing more is sent', async () => {
  const world = new ServiceWorld(['refused'], 2);
  const source = new CancellationSource();
  const call = world.dispatcher().dispatch(order, source.token);
  await world.clock.advanceAsync(0);
  source.cancel('gone');
  expect(summary(await call)).toBe('callerGone no');
  await world.clock.advanceAsync(10_000);
  expect([world.sent, world.executions]).toEqual([1, 0]);
});

test('one decision line for each call', async () => {
  const world = new ServiceWorld(['unreachable', 'ok'], 2);
  const [first, second] = ['r0', 'r1'].map(upstream => ({
    upstream,
    address: upstream,
  }));
  await dispatch(world, order);
  expect(world.decisions).toMatchObject([
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
  expect(JSON.stringify(world.decisions)).not.toContain('"key"');
});

test('retries are a share of successes', () => {
  const budget = new RetryBudget(0.1, 2);
  const spent = [budget.take(), budget.take(), budget.take()];
  expect(spent).toEqual([true, true, false]);
  for (let count = 0; count < 11; count++) {
    budget.earn();
  }
  expect([budget.take(), budget.take()]).toEqual([true, false]);
});

test('the 95th percentile of a bounded window', () => {
  const window = new LatencyWindow();
  for (let value = 1; value <= 1000; value++) {
    window.add(value);
  }
  expect(window.percentile95).toBe(990);
});

const behaviour = fc.constantFrom<Behaviour>(
  'ok',
  'unreachable',
  'refused',
  'lostBefore',
  'lostAfter',
  'mismatch',
  'silent',
);

function atMostOnce(judge?: (error: ServiceError) => ServiceError) {
  return fc.asyncProperty(
    fc.array(behaviour, {maxLength: 8}),
    fc.integer({min: 0, max: 4}),
    fc.integer({min: 1, max: 3}),
    async (replies, replicas, submissions) => {
      const world = new ServiceWorld(replies, replicas, judge);
      const dispatcher = world.dispatcher();
      let notRun = 0;
      for (let count = 0; count < submissions; count++) {
        const deadlineAt = world.clock.monotonicMilliseconds() + 1000;
        const call = dispatcher.dispatch(callOf({deadlineAt}), neverCancelled);
        await world.clock.advanceAsync(2000);
        const result = await call;
        notRun += !result.ok && result.error.executed === 'no' ? 1 : 0;
      }
      const toldNo = notRun === submissions;
      return world.executions <= 1 && !(toldNo && world.executions > 0);
    },
  );
}

test('a call that may not be repeated runs at most once, and not run means not run', async () => {
  await fc.assert(atMostOnce(), {numRuns: 300, seed: SEED});
});

test('the property notices a lost answer taken for a refusal', async () => {
  const trusting = (error: ServiceError): ServiceError =>
    error.kind === 'lost'
      ? {kind: 'refused', retryAfterMilliseconds: 0}
      : error;
  const details = await fc.check(atMostOnce(trusting), {
    numRuns: 300,
    seed: SEED,
  });
  expect(details.failed).toBe(true);
});
