import {describe, expect, it} from 'vitest';

import {FakeClock} from '../../../../test/support/fakeClock.js';
import {InMemoryPlatform} from '../../../../test/support/inMemoryPlatform.js';
import {neverCancelled} from '../../../base/common/cancellation.js';
import {SeededRandomSource} from '../../../base/common/randomSource.js';
import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';
import {ListReader} from '../common/listReader.js';
import {ListReadPlan} from '../common/listReadPlan.js';
import {CARRY_MILLISECONDS, MemberBook} from '../common/memberBook.js';

const limits = {shortestMilliseconds: 3_000, bytesPerSecond: 500};

function engine(id: string, state: 'live' | 'leaving' = 'live') {
  const place = {dataCentre: 'd', region: 'r', address: '10.0.0.1:1'};
  return {role: 'engine', id, ...place, group: 'g', state} as UpstreamMember;
}

function engines(ids: string): readonly UpstreamMember[] {
  return [...ids].map(id => engine(id));
}

describe('the plan of reads', () => {
  it.each([
    {name: 'alone', bytes: 560_000, sharers: 1, seconds: 3},
    {name: 'by the fleet', bytes: 560_000, sharers: 7, seconds: 21},
    {name: 'by the budget', bytes: 560_000, sharers: 1_000, seconds: 1_120},
    {name: 'a short list', bytes: 100, sharers: 370, seconds: 3},
  ])('$name', ({bytes, sharers, seconds}) => {
    const clock = new FakeClock();
    const plan = new ListReadPlan(clock, new SeededRandomSource(1), limits);
    expect(plan.isDue(sharers)).toBe(true);
    plan.noteRead(bytes, false);
    expect(plan.intervalMilliseconds(sharers)).toBe(seconds * 1_000);
    const asked = 40_000;
    const due = Array.from({length: asked}, () => plan.isDue(sharers));
    const mean = (3 * asked) / due.filter(Boolean).length;
    expect(mean / seconds).toBeGreaterThan(0.8);
    expect(mean / seconds).toBeLessThan(1.25);
  });

  it('waits as long as the platform asks, then reads a doubtful list again', () => {
    const clock = new FakeClock();
    const plan = new ListReadPlan(clock, new SeededRandomSource(1), limits);
    plan.noteFailed(10_000);
    expect(plan.isDue(1)).toBe(false);
    clock.advance(10_000);
    expect(plan.isDue(1)).toBe(true);
    plan.noteRead(5_600_000, true);
    expect(plan.isDue(1_000_000)).toBe(true);
    plan.noteRead(5_600_000, true);
    expect(plan.isDue(1_000_000)).toBe(false);
    clock.advance(11_200_000 / 8 + 1);
    expect(plan.isDue(1_000_000)).toBe(true);
  });
});

describe('a list that lost members', () => {
  it.each([
    {name: 'one of four, at once', reads: ['abc'], heard: '', left: 'abc'},
    {name: 'most, seen once', reads: ['ab12'], heard: '', left: 'abcdefgh12'},
    {
      name: 'half, seen twice',
      reads: ['abcd', 'abcd'],
      heard: '',
      left: 'abcd',
    },
    {
      name: 'half, then back',
      reads: ['', 'abcdefgh'],
      heard: '',
      left: 'abcdefgh',
    },
    {
      name: 'all, one heard of',
      reads: ['', '', ''],
      heard: 'h',
      left: 'abcdefgh',
    },
    {name: 'all, none heard of', reads: ['', ''], heard: '', left: ''},
    {
      name: 'others each time',
      reads: ['abcd', 'efgh'],
      heard: '',
      left: 'abcdefgh',
    },
  ])('$name', async ({name, reads, heard, left}) => {
    const clock = new FakeClock();
    const platform = new InMemoryPlatform(clock);
    const book = new MemberBook();
    const plan = new ListReadPlan(clock, new SeededRandomSource(1), limits);
    const reader = new ListReader(
      platform.portsOf().membership,
      book,
      plan,
      clock,
      new SilentLogger(),
      id => heard.includes(id),
    );
    const first = name.startsWith('one of four') ? 'abcd' : 'abcdefgh';
    for (const ids of [first, ...reads]) {
      platform.members = engines(ids);
      await reader.read(neverCancelled);
      clock.advance(10_000);
    }
    const ids = book.members().map(({id}) => id);
    expect(ids.sort()).toEqual([...left].sort());
  });
});

describe('what reads at different times showed of a member', () => {
  const live = {id: 'a', member: engine('a')};
  const leaving = {id: 'a', member: engine('a', 'leaving')};
  const gone = {id: 'a'};

  /** Each row: what was told, seconds before now at which it was read. */
  it.each([
    {
      name: 'the newer wins',
      told: [
        [leaving, 9],
        [live, 5],
      ],
      state: 'live',
    },
    {
      name: 'the order does not matter',
      told: [
        [live, 5],
        [leaving, 9],
      ],
      state: 'live',
    },
    {
      name: 'leaving wins in the margin',
      told: [
        [live, 8],
        [leaving, 9],
      ],
      state: 'leaving',
    },
    {
      name: 'a removed one stays away',
      told: [
        [gone, 5],
        [live, 6],
      ],
      state: undefined,
    },
    {
      name: 'one removed here before it came',
      told: [
        [live, 20],
        [gone, 5],
        [leaving, 6],
      ],
      state: undefined,
    },
    {
      name: 'one that came back',
      told: [
        [gone, 9],
        [live, 4],
      ],
      state: 'live',
    },
    {
      name: 'too old to be told',
      told: [[live, CARRY_MILLISECONDS / 1_000 + 1]],
      state: undefined,
    },
  ] as const)('$name', ({told, state}) => {
    const now = 10 * CARRY_MILLISECONDS;
    const book = new MemberBook();
    book.takeList([], 0, 0, new Set());
    for (const [change, seconds] of told) {
      const ageMilliseconds = seconds * 1_000;
      book.takeChanges([{...change, ageMilliseconds}], now, now);
    }
    expect(book.get('a')?.state).toBe(state);
  });

  it('is not taken from a peer when a whole read since then lacked it', () => {
    const book = new MemberBook();
    book.takeList([], 100, 100, new Set());
    const told = [{...live, ageMilliseconds: 0}];
    expect(book.takeChanges(told, 100, 100)).toBe(false);
    expect(book.takeChanges(told, 101, 101)).toBe(true);
  });

  it('is forgotten in the end, and remembered for a bounded number', () => {
    const book = new MemberBook();
    const many = Array.from({length: 6_000}, (_, index) => engine(`x${index}`));
    book.takeList(many, 0, 0, new Set());
    book.takeList([], 1, 1, new Set());
    expect(book.remembered).toBeLessThan(5_000);
    book.takeList(
      [],
      3 * CARRY_MILLISECONDS,
      3 * CARRY_MILLISECONDS,
      new Set(),
    );
    expect(book.remembered).toBe(0);
    expect(book.fingerprint).toBe(new MemberBook().fingerprint);
  });
});
