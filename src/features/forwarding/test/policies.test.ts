import {describe, expect, it} from 'vitest';

import {FakeClock} from '../../../../test/support/fakeClock.js';
import {makeUpstream} from '../../fleet/test/upstreams.js';
import {choosePlainUpstream} from '../common/choosePlainUpstream.js';
import {OutcomeHistory} from '../common/outcomeHistory.js';
import {NotRunReason, retryAfterMilliseconds} from '../common/retryAfter.js';
import {roomPatience} from '../common/roomPatience.js';
import {RetryBudget} from '../common/retryBudget.js';
import {findSilentStreams, StreamProgress} from '../common/silence.js';

describe('the retry budget', () => {
  const settings = {ratio: 0.2, slack: 70, windowMilliseconds: 10_000};

  function takeAll(budget: RetryBudget): number {
    let taken = 0;
    while (budget.take('s', 'begun')) {
      taken++;
    }
    return taken;
  }

  it.each([
    {requests: 0, instances: 7, taken: 8},
    {requests: 100, instances: 7, taken: 25},
    {requests: 100, instances: 1, taken: 76},
    {requests: 0, instances: 0, taken: 59},
  ])(
    'of one of $instances instances with $requests requests is $taken',
    ({requests, instances, taken}) => {
      const budget = new RetryBudget(
        new FakeClock(),
        settings,
        () => instances,
      );
      for (let count = 0; count < requests; count++) {
        budget.noteRequest('s');
      }
      expect(takeAll(budget)).toBe(taken);
    },
  );

  it('is kept in every window through an outage of all instances', () => {
    const instances = 7;
    const clock = new FakeClock();
    const budgets = [...Array(instances)].map(
      () => new RetryBudget(clock, settings, () => instances),
    );
    const repeats: number[] = [];
    let requests = 0;
    for (let step = 0; step < 400; step++) {
      clock.advance(100);
      for (const budget of budgets) {
        budget.noteRequest('s');
        requests++;
        // Everything fails: each instance repeats whatever it may.
        repeats.push(...[...Array(takeAll(budget))].map(() => step * 100));
      }
    }
    const perWindow = (requests / 400) * 100;
    const allowance = settings.ratio * perWindow + settings.slack;
    for (let from = 0; from < 40_000; from += 100) {
      const inWindow = repeats.filter(
        at => at >= from && at < from + settings.windowMilliseconds,
      ).length;
      expect(inWindow).toBeLessThanOrEqual(allowance);
    }
  });

  it('keeps a part for streams that have begun', () => {
    const budget = new RetryBudget(new FakeClock(), settings, () => 1);
    let first = 0;
    while (budget.take('s', 'first')) {
      first++;
    }
    expect(first).toBe(41);
    expect(budget.take('s', 'begun')).toBe(true);
  });

  it('is separate for each service', () => {
    const budget = new RetryBudget(new FakeClock(), settings, () => 7);
    takeAll(budget);
    expect(budget.take('other', 'begun')).toBe(true);
  });
});

describe('the choice among plain upstreams', () => {
  const upstreams = ['a', 'b', 'c'].map(id => makeUpstream({id, slots: 4}));

  it.each<{
    name: string;
    loads: Readonly<Record<string, number>>;
    failures: Readonly<Record<string, number>>;
    unusable?: readonly string[];
    chosen: string | undefined;
  }>([
    {
      name: 'least loaded',
      loads: {a: 3, b: 1, c: 2},
      failures: {},
      chosen: 'b',
    },
    {
      name: 'sound rather than failing',
      loads: {b: 1, c: 1},
      failures: {a: 0.5},
      chosen: 'b',
    },
    {
      name: 'failing rather than far more loaded',
      loads: {b: 20, c: 20},
      failures: {a: 0.5},
      chosen: 'a',
    },
    {
      name: 'usable',
      loads: {},
      failures: {},
      unusable: ['a', 'b'],
      chosen: 'c',
    },
    {
      name: 'none',
      loads: {},
      failures: {},
      unusable: ['a', 'b', 'c'],
      chosen: undefined,
    },
  ])('is $name', ({loads, failures, unusable = [], chosen}) => {
    const answer = choosePlainUpstream({
      upstreams,
      loadOf: id => ({requests: loads[id] ?? 0, tokenLayers: 0}),
      failureShareOf: id => failures[id] ?? 0,
      isUsable: ({id}) => !unusable.includes(id),
      draw: () => 0,
    });
    expect(answer.kind === 'found' ? answer.upstream.id : undefined).toBe(
      chosen,
    );
  });
});

it('an upstream that fails shows within its next calls and is forgiven in time', () => {
  const clock = new FakeClock();
  const history = new OutcomeHistory(clock);
  for (let call = 0; call < 4; call++) {
    history.note('a', false);
  }
  expect(history.failureShare('a')).toBeGreaterThan(0.5);
  clock.advance(20_000);
  expect(history.failureShare('a')).toBeLessThan(0.05);
});

describe('the time to come back', () => {
  it.each<{reason: NotRunReason; left: number; draw: number; wait: number}>([
    {reason: 'noRoom', left: 20_000, draw: 0, wait: 400},
    {reason: 'noRoom', left: 20_000, draw: 1, wait: 600},
    {reason: 'noLayers', left: 1_000, draw: 0, wait: 333},
    {reason: 'stopping', left: 20_000, draw: 0.5, wait: 0},
    {reason: 'timeOver', left: -5, draw: 0, wait: 0},
  ])(
    'after $reason with $left ms left is $wait',
    ({reason, left, draw, wait}) => {
      expect(retryAfterMilliseconds(reason, left, draw)).toBe(wait);
    },
  );
});

describe('the wait for a path', () => {
  it.each([
    {
      name: 'has begun',
      hasBegun: true,
      mayHaveRun: true,
      silent: 5_000,
      left: Infinity,
    },
    {
      name: 'may have run',
      hasBegun: false,
      mayHaveRun: true,
      silent: 500,
      left: 1_300,
    },
    {
      name: 'may have run long ago',
      hasBegun: false,
      mayHaveRun: true,
      silent: 1_900,
      left: 0,
    },
    {
      name: 'has not run',
      hasBegun: false,
      mayHaveRun: false,
      silent: 20,
      left: 30,
    },
    {
      name: 'has not run and waited',
      hasBegun: false,
      mayHaveRun: false,
      silent: 60,
      left: 0,
    },
  ])('of a stream that $name', ({hasBegun, mayHaveRun, silent, left}) => {
    const patience = roomPatience({
      hasBegun,
      mayHaveRun,
      silentMilliseconds: silent,
      latencyTargetMilliseconds: 400,
    });
    expect(patience).toBe(left);
  });
});

describe('silent streams', () => {
  function stream(
    requestId: string,
    upstreams: readonly string[],
    lastProgressAt: number,
    hasBegun = true,
  ): StreamProgress {
    return {
      requestId,
      upstreams,
      lastProgressAt,
      hasBegun,
      usualGapMilliseconds: 20,
      expectedGapMilliseconds: 20,
    };
  }

  const now = 1000;

  it.each([
    {
      name: 'point to what they share and flowing ones do not',
      streams: [
        stream('1', ['a', 'x', 'c'], 900),
        stream('2', ['a', 'x', 'd'], 905),
        stream('3', ['a', 'y', 'c'], 990),
      ],
      silent: {1: ['x'], 2: ['x', 'd']},
    },
    {
      name: 'are none while all flow',
      streams: [stream('1', ['a'], 960), stream('2', ['b'], 990)],
      silent: {},
    },
    {
      name: 'leave out streams that have just been sent',
      streams: [stream('1', ['a'], 700, false)],
      silent: {},
    },
    {
      name: 'count streams that have not begun for long',
      streams: [stream('1', ['a'], 600, false), stream('2', ['a'], 995)],
      silent: {1: []},
    },
    {
      name: 'suspect all when nothing flows',
      streams: [stream('1', ['a', 'b'], 900)],
      silent: {1: ['a', 'b']},
    },
  ])('$name', ({streams, silent}) => {
    const found = findSilentStreams(streams, now);
    const suspects = Object.fromEntries(
      found.map(entry => [entry.requestId, entry.suspects]),
    );
    expect(suspects).toEqual(silent);
  });
});
