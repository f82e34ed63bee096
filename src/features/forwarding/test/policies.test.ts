import {describe, expect, it} from 'vitest';

import {FakeClock} from '../../../../test/support/fakeClock.js';
import {makeUpstream} from '../../fleet/test/upstreams.js';
import {choosePlainUpstream} from '../common/choosePlainUpstream.js';
import {OutcomeHistory} from '../common/outcomeHistory.js';
import {remainingPathWait} from '../common/pathWait.js';
import {NotRunReason, retryAfterMilliseconds} from '../common/retryAfter.js';
import {RetryBudget} from '../common/retryBudget.js';
import {findSilentStreams, StreamProgress} from '../common/silentStreams.js';

describe('RetryBudget', () => {
  const settings = {ratio: 0.2, slack: 70, windowMilliseconds: 10_000};

  function useUpBudget(budget: RetryBudget): number {
    let taken = 0;
    while (budget.tryTake('s', 'begun')) {
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
    'allows $taken retries for $requests requests on one of $instances instances',
    ({requests, instances, taken}) => {
      const budget = new RetryBudget(
        new FakeClock(),
        settings,
        () => instances,
      );
      for (let count = 0; count < requests; count++) {
        budget.recordRequest('s');
      }
      expect(useUpBudget(budget)).toBe(taken);
    },
  );

  it('is not exceeded in any window while every request fails on all instances', () => {
    const instances = 7;
    const clock = new FakeClock();
    const budgets = [...Array(instances)].map(
      () => new RetryBudget(clock, settings, () => instances),
    );
    const retryTimes: number[] = [];
    let requests = 0;
    for (let step = 0; step < 400; step++) {
      clock.advance(100);
      for (const budget of budgets) {
        budget.recordRequest('s');
        requests++;
        // Every request fails, so each instance retries as often as its budget allows.
        retryTimes.push(
          ...[...Array(useUpBudget(budget))].map(() => step * 100),
        );
      }
    }
    const perWindow = (requests / 400) * 100;
    const allowance = settings.ratio * perWindow + settings.slack;
    for (let from = 0; from < 40_000; from += 100) {
      const inWindow = retryTimes.filter(
        at => at >= from && at < from + settings.windowMilliseconds,
      ).length;
      expect(inWindow).toBeLessThanOrEqual(allowance);
    }
  });

  it('reserves a share for streams that have begun', () => {
    const budget = new RetryBudget(new FakeClock(), settings, () => 1);
    let first = 0;
    while (budget.tryTake('s', 'first')) {
      first++;
    }
    expect(first).toBe(41);
    expect(budget.tryTake('s', 'begun')).toBe(true);
  });

  it('counts each service separately', () => {
    const budget = new RetryBudget(new FakeClock(), settings, () => 7);
    useUpBudget(budget);
    expect(budget.tryTake('other', 'begun')).toBe(true);
  });
});

describe('choosePlainUpstream', () => {
  const upstreams = ['a', 'b', 'c'].map(id => makeUpstream({id, slots: 4}));

  it.each<{
    name: string;
    loads: Readonly<Record<string, number>>;
    failures: Readonly<Record<string, number>>;
    unusable?: readonly string[];
    chosen: string | undefined;
  }>([
    {
      name: 'the least loaded upstream',
      loads: {a: 3, b: 1, c: 2},
      failures: {},
      chosen: 'b',
    },
    {
      name: 'a healthy upstream instead of a failing one',
      loads: {b: 1, c: 1},
      failures: {a: 0.5},
      chosen: 'b',
    },
    {
      name: 'a failing upstream instead of a far more loaded one',
      loads: {b: 20, c: 20},
      failures: {a: 0.5},
      chosen: 'a',
    },
    {
      name: 'a usable upstream',
      loads: {},
      failures: {},
      unusable: ['a', 'b'],
      chosen: 'c',
    },
    {
      name: 'nothing if no upstream is usable',
      loads: {},
      failures: {},
      unusable: ['a', 'b', 'c'],
      chosen: undefined,
    },
  ])('selects $name', ({loads, failures, unusable = [], chosen}) => {
    const choice = choosePlainUpstream({
      upstreams,
      loadOf: id => ({requests: loads[id] ?? 0, starts: 0, tokenLayers: 0}),
      failureRateOf: id => failures[id] ?? 0,
      isUsable: ({id}) => !unusable.includes(id),
      randomFraction: () => 0,
    });
    expect(choice.kind === 'found' ? choice.upstream.id : undefined).toBe(
      chosen,
    );
  });
});

it('the failure rate of an upstream rises within a few calls and decays over time', () => {
  const clock = new FakeClock();
  const history = new OutcomeHistory(clock);
  for (let call = 0; call < 4; call++) {
    history.record('a', false);
  }
  expect(history.failureRate('a')).toBeGreaterThan(0.5);
  clock.advance(20_000);
  expect(history.failureRate('a')).toBeLessThan(0.05);
});

describe('the retry delay', () => {
  it.each<{reason: NotRunReason; left: number; draw: number; wait: number}>([
    {reason: 'noRoom', left: 20_000, draw: 0, wait: 400},
    {reason: 'noRoom', left: 20_000, draw: 1, wait: 600},
    {reason: 'noLayers', left: 1_000, draw: 0, wait: 333},
    {reason: 'stopping', left: 20_000, draw: 0.5, wait: 0},
    {reason: 'timeOver', left: -5, draw: 0, wait: 0},
  ])(
    'after $reason with $left ms left is $wait ms',
    ({reason, left, draw, wait}) => {
      expect(retryAfterMilliseconds(reason, left, draw)).toBe(wait);
    },
  );
});

it('the retry delay after a limit is at least the time of its next slot', () => {
  expect(retryAfterMilliseconds('limited', 20_000, 0, 1_250)).toBe(1_250);
  expect(retryAfterMilliseconds('limited', 20_000, 0, 50)).toBe(400);
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
      name: 'may have been executed',
      hasBegun: false,
      mayHaveRun: true,
      silent: 500,
      left: 1_300,
    },
    {
      name: 'may have been executed and has waited too long',
      hasBegun: false,
      mayHaveRun: true,
      silent: 1_900,
      left: 0,
    },
    {
      name: 'was not executed',
      hasBegun: false,
      mayHaveRun: false,
      silent: 20,
      left: 30,
    },
    {
      name: 'was not executed and has waited too long',
      hasBegun: false,
      mayHaveRun: false,
      silent: 60,
      left: 0,
    },
  ])(
    'of a stream that $name is $left ms',
    ({hasBegun, mayHaveRun, silent, left}) => {
      const remaining = remainingPathWait({
        hasBegun,
        mayHaveRun,
        silentMilliseconds: silent,
        latencyTargetMilliseconds: 400,
      });
      expect(remaining).toBe(left);
    },
  );
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
      lastActivityAt: lastProgressAt,
      hasBegun,
      meanGapMilliseconds: 20,
      expectedGapMilliseconds: 20,
    };
  }

  const now = 1000;

  it.each([
    {
      name: 'suspect the upstreams through which no other stream progresses',
      streams: [
        stream('1', ['a', 'x', 'c'], 900),
        stream('2', ['a', 'x', 'd'], 905),
        stream('3', ['a', 'y', 'c'], 990),
      ],
      silent: {1: ['x'], 2: ['x', 'd']},
    },
    {
      name: 'are none while all streams progress',
      streams: [stream('1', ['a'], 960), stream('2', ['b'], 990)],
      silent: {},
    },
    {
      name: 'exclude streams that were sent recently',
      streams: [stream('1', ['a'], 700, false)],
      silent: {},
    },
    {
      name: 'include streams that have waited long for their first event',
      streams: [stream('1', ['a'], 600, false), stream('2', ['a'], 995)],
      silent: {1: []},
    },
    {
      name: 'suspect all upstreams of the path when nothing progresses',
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
