import {describe, expect, it} from 'vitest';

import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {UpstreamLimitTracker} from '../common/upstreamLimitTracker.js';

interface LimitCase {
  readonly name: string;
  readonly act: (limits: UpstreamLimitTracker, clock: FakeClock) => void;
  readonly expected: number | undefined;
}

describe('the limit of an upstream', () => {
  const cases: readonly LimitCase[] = [
    {
      name: 'is the one in its latest answer',
      act: (limits, clock) => {
        limits.recordOwn('one', 1.5, 0);
        clock.advance(100);
        limits.recordOwn('one', 1.8, 0);
      },
      expected: 1.8,
    },
    {
      name: 'ends with an answer without one to a request sent after it was named',
      act: (limits, clock) => {
        limits.recordOwn('one', 1.5, 0);
        clock.advance(100);
        limits.recordOwn('one', undefined, 50);
      },
      expected: undefined,
    },
    {
      name: 'outlasts a late answer without one to a request sent before it was named',
      act: (limits, clock) => {
        clock.advance(100);
        limits.recordOwn('one', 1.5, 0);
        clock.advance(100);
        limits.recordOwn('one', undefined, 50);
      },
      expected: 1.5,
    },
    {
      name: 'is learned from a peer',
      act: (limits, clock) => {
        clock.advance(5_000);
        limits.recordFromPeer({
          upstream: 'one',
          requestsPerSecond: 2,
          ageMilliseconds: 300,
        });
      },
      expected: 2,
    },
    {
      name: 'is not replaced by an older reading of a peer',
      act: (limits, clock) => {
        clock.advance(5_000);
        limits.recordOwn('one', 1.5, 0);
        limits.recordFromPeer({
          upstream: 'one',
          requestsPerSecond: 9,
          ageMilliseconds: 300,
        });
      },
      expected: 1.5,
    },
    {
      name: 'does not come back with a late copy from a peer after it has ended',
      act: (limits, clock) => {
        limits.recordOwn('one', 1.5, 0);
        clock.advance(2_000);
        limits.recordOwn('one', undefined, 1_900);
        limits.recordFromPeer({
          upstream: 'one',
          requestsPerSecond: 1.5,
          ageMilliseconds: 1_000,
        });
      },
      expected: undefined,
    },
    {
      name: 'does not come back from a peer that was cut off for longer than ends are remembered',
      act: (limits, clock) => {
        limits.recordOwn('one', 1.5, 0);
        clock.advance(1_000);
        limits.recordOwn('one', undefined, 900);
        clock.advance(15_000);
        limits.recordFromPeer({
          upstream: 'one',
          requestsPerSecond: 1.5,
          ageMilliseconds: 16_000,
        });
      },
      expected: undefined,
    },
    {
      name: 'is forgotten with the run of the upstream that named it',
      act: limits => {
        limits.recordOwn('one', 1.5, 0);
        limits.retain(id => id !== 'one');
      },
      expected: undefined,
    },
  ];

  it.each(cases)('$name', ({act, expected}) => {
    const clock = new FakeClock();
    const limits = new UpstreamLimitTracker(clock, new SilentLogger());
    act(limits, clock);
    expect(limits.limitOf('one')?.requestsPerSecond).toBe(expected);
    expect(limits.limitedCount).toBe(expected === undefined ? 0 : 1);
  });
});

describe('the readings for peers', () => {
  it('carry limits and ends of limits with their age, for ten seconds', () => {
    const clock = new FakeClock();
    const limits = new UpstreamLimitTracker(clock, new SilentLogger());
    limits.recordOwn('one', 1.5, 0);
    limits.recordOwn('two', 3, 0);
    clock.advance(1_000);
    limits.recordOwn('two', undefined, 900);
    expect(limits.readings).toEqual([
      {upstream: 'one', requestsPerSecond: 1.5, ageMilliseconds: 1_000},
      {upstream: 'two', requestsPerSecond: undefined, ageMilliseconds: 100},
    ]);
    clock.advance(10_000);
    expect(limits.readings).toEqual([]);
    expect(limits.limitOf('one')?.requestsPerSecond).toBe(1.5);
  });
});
