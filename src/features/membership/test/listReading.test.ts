import {describe, expect, it} from 'vitest';

import {FakeClock} from '../../../../test/support/fakeClock.js';
import {InMemoryPlatform} from '../../../../test/support/inMemoryPlatform.js';
import {neverCancelled} from '../../../base/common/cancellation.js';
import {SeededRandomSource} from '../../../base/common/randomSource.js';
import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';
import {ListReader} from '../common/listReader.js';
import {ListReadScheduler} from '../common/listReadScheduler.js';
import {
  SHARING_MILLISECONDS,
  MergedMemberList,
} from '../common/mergedMemberList.js';

const OWN_ID = 'i0';
const limits = {minIntervalMilliseconds: 3_000, bytesPerSecond: 500};

function engine(id: string, state: 'live' | 'leaving' = 'live') {
  const location = {dataCentre: 'd', region: 'r', address: '10.0.0.1:1'};
  return {role: 'engine', id, ...location, group: 'g', state} as UpstreamMember;
}

function engines(ids: string): readonly UpstreamMember[] {
  return [...ids].map(id => engine(id));
}

function readerIds(count: number): readonly string[] {
  return Array.from({length: count}, (_, index) => `i${index}`);
}

describe('ListReadScheduler', () => {
  it.each([
    {
      name: 'at the minimum interval when alone',
      bytes: 560_000,
      readerCount: 1,
      seconds: 3,
    },
    {
      name: 'in proportion to the number of readers',
      bytes: 560_000,
      readerCount: 7,
      seconds: 21,
    },
    {
      name: 'within the byte budget for many readers',
      bytes: 560_000,
      readerCount: 1_000,
      seconds: 1_120,
    },
    {
      name: 'at the minimum interval for a short list',
      bytes: 100,
      readerCount: 370,
      seconds: 3,
    },
  ])('schedules reads $name', ({bytes, readerCount, seconds}) => {
    const clock = new FakeClock();
    const scheduler = new ListReadScheduler(
      OWN_ID,
      clock,
      new SeededRandomSource(1),
      limits,
    );
    const readers = readerIds(readerCount);
    expect(scheduler.isDue(readers)).toBe(true);
    scheduler.recordRead(bytes, false);
    expect(scheduler.intervalMilliseconds(readerCount)).toBe(seconds * 1_000);
    const polls = 40_000;
    const due = Array.from({length: polls}, () => {
      clock.advance(limits.minIntervalMilliseconds);
      return scheduler.isDue(readers);
    });
    const mean = (3 * polls) / due.filter(Boolean).length;
    expect(mean / seconds).toBeGreaterThan(0.8);
    expect(mean / seconds).toBeLessThan(1.25);
  });

  it('waits for the requested retry delay, then repeats doubtful reads', () => {
    const clock = new FakeClock();
    const scheduler = new ListReadScheduler(
      OWN_ID,
      clock,
      new SeededRandomSource(1),
      limits,
    );
    const alone = readerIds(1);
    const many = readerIds(1_000_000);
    scheduler.recordFailure(10_000);
    expect(scheduler.isDue(alone)).toBe(false);
    clock.advance(10_000);
    expect(scheduler.isDue(alone)).toBe(true);
    scheduler.recordRead(5_600_000, true);
    expect(scheduler.isDue(many)).toBe(true);
    scheduler.recordRead(5_600_000, true);
    expect(scheduler.isDue(many)).toBe(false);
    clock.advance(11_200_000 / 8 + 1);
    expect(scheduler.isDue(many)).toBe(true);
  });
});

describe('ListReader', () => {
  it.each([
    {
      name: 'removes one of four members at once',
      reads: ['abc'],
      recentlySeenIds: '',
      remaining: 'abc',
    },
    {
      name: 'keeps members that one read lacks',
      reads: ['ab12'],
      recentlySeenIds: '',
      remaining: 'abcdefgh12',
    },
    {
      name: 'removes members that two reads lack',
      reads: ['abcd', 'abcd'],
      recentlySeenIds: '',
      remaining: 'abcd',
    },
    {
      name: 'keeps members that the next read contains again',
      reads: ['', 'abcdefgh'],
      recentlySeenIds: '',
      remaining: 'abcdefgh',
    },
    {
      name: 'keeps all members while one of them was seen recently',
      reads: ['', '', ''],
      recentlySeenIds: 'h',
      remaining: 'abcdefgh',
    },
    {
      name: 'removes all members if none was seen recently',
      reads: ['', ''],
      recentlySeenIds: '',
      remaining: '',
    },
    {
      name: 'keeps members that only one of two reads lacks',
      reads: ['abcd', 'efgh'],
      recentlySeenIds: '',
      remaining: 'abcdefgh',
    },
  ])('$name', async ({name, reads, recentlySeenIds, remaining}) => {
    const clock = new FakeClock();
    const platform = new InMemoryPlatform(clock);
    const memberList = new MergedMemberList();
    const scheduler = new ListReadScheduler(
      OWN_ID,
      clock,
      new SeededRandomSource(1),
      limits,
    );
    const reader = new ListReader(
      platform.servicesFor().membership,
      memberList,
      scheduler,
      clock,
      new SilentLogger(),
      id => recentlySeenIds.includes(id),
    );
    const first = name.startsWith('removes one of four') ? 'abcd' : 'abcdefgh';
    for (const ids of [first, ...reads]) {
      platform.members = engines(ids);
      await reader.read(neverCancelled);
      clock.advance(10_000);
    }
    const ids = memberList.members().map(({id}) => id);
    expect(ids.sort()).toEqual([...remaining].sort());
  });
});

describe('MergedMemberList', () => {
  const live = {id: 'a', member: engine('a')};
  const leaving = {id: 'a', member: engine('a', 'leaving')};
  const removed = {id: 'a'};

  /** Each change is paired with its age in seconds. */
  it.each([
    {
      name: 'prefers the newer observation',
      changes: [
        [leaving, 9],
        [live, 5],
      ],
      state: 'live',
    },
    {
      name: 'ignores the order of arrival',
      changes: [
        [live, 5],
        [leaving, 9],
      ],
      state: 'live',
    },
    {
      name: 'prefers the state leaving within the timestamp error',
      changes: [
        [live, 8],
        [leaving, 9],
      ],
      state: 'leaving',
    },
    {
      name: 'keeps a newer removal',
      changes: [
        [removed, 5],
        [live, 6],
      ],
      state: undefined,
    },
    {
      name: 'keeps a newer removal of a known member',
      changes: [
        [live, 20],
        [removed, 5],
        [leaving, 6],
      ],
      state: undefined,
    },
    {
      name: 'restores a member that came back',
      changes: [
        [removed, 9],
        [live, 4],
      ],
      state: 'live',
    },
    {
      name: 'ignores observations that are too old to be shared',
      changes: [[live, SHARING_MILLISECONDS / 1_000 + 1]],
      state: undefined,
    },
  ] as const)('$name', ({changes, state}) => {
    const now = 10 * SHARING_MILLISECONDS;
    const memberList = new MergedMemberList();
    memberList.applyList([], 0, 0, new Set());
    for (const [change, seconds] of changes) {
      const ageMilliseconds = seconds * 1_000;
      memberList.applyChanges([{...change, ageMilliseconds}], now, now);
    }
    expect(memberList.get('a')?.state).toBe(state);
  });

  it('rejects a member from a peer if a later read of the whole list lacked it', () => {
    const memberList = new MergedMemberList();
    memberList.applyList([], 100, 100, new Set());
    const changes = [{...live, ageMilliseconds: 0}];
    expect(memberList.applyChanges(changes, 100, 100)).toBe(false);
    expect(memberList.applyChanges(changes, 101, 101)).toBe(true);
  });

  it('removes old tombstones and bounds their number', () => {
    const memberList = new MergedMemberList();
    const members = Array.from({length: 6_000}, (_, index) =>
      engine(`x${index}`),
    );
    memberList.applyList(members, 0, 0, new Set());
    memberList.applyList([], 1, 1, new Set());
    expect(memberList.observationCount).toBeLessThan(5_000);
    memberList.applyList(
      [],
      3 * SHARING_MILLISECONDS,
      3 * SHARING_MILLISECONDS,
      new Set(),
    );
    expect(memberList.observationCount).toBe(0);
    expect(memberList.fingerprint).toBe(new MergedMemberList().fingerprint);
  });
});
