import * as fastCheck from 'fast-check';
import {describe, expect, it} from 'vitest';

import {FakeClock} from '../../../../test/support/fakeClock.js';
import {instanceMember} from '../../../../test/support/members.js';
import {emptyConfiguration} from '../../configuration/common/configuration.js';
import {
  ConfirmationInput,
  ConfirmationTracker,
  decideConfirmation,
  LifecycleState,
} from '../common/confirmation.js';
import {InstanceDirectory} from '../common/instanceDirectory.js';
import {
  instanceLifecycle,
  LifecycleEvent,
  StandingKeeper,
} from '../common/standingKeeper.js';
import {StatusTable} from '../common/statusTable.js';
import {SystemView} from '../common/systemView.js';
import {ViewHistory} from '../common/viewHistory.js';
import {HOLD_MILLISECONDS, ViewMerger} from '../common/viewMerger.js';

const base: ConfirmationInput = {
  now: 100_000,
  boundMilliseconds: 10_000,
  appliedRevision: 3,
  knownRevision: 3,
  confirmedAt: undefined,
  outage: {listed: 5, failed: 0},
};

describe('decideConfirmation', () => {
  const cases: ReadonlyArray<
    readonly [string, Partial<ConfirmationInput>, string]
  > = [
    ['never confirmed', {}, 'unconfirmed'],
    ['confirmed at the bound', {confirmedAt: 90_000}, 'confirmed'],
    ['confirmed before the bound', {confirmedAt: 89_999}, 'unconfirmed'],
    [
      'a newer revision known, within the bound',
      {confirmedAt: 95_000, knownRevision: 4},
      'confirmed',
    ],
    ['a majority without table', {outage: {listed: 5, failed: 3}}, 'confirmed'],
    ['half without table', {outage: {listed: 4, failed: 2}}, 'unconfirmed'],
    [
      'a majority without table, a newer revision known',
      {outage: {listed: 5, failed: 5}, knownRevision: 4},
      'unconfirmed',
    ],
    ['an empty list', {outage: {listed: 0, failed: 0}}, 'unconfirmed'],
  ];

  it.each(cases)('%s', (_name, change, expected) => {
    expect(decideConfirmation({...base, ...change})).toBe(expected);
  });

  it('counts a read only once its revision was applied', () => {
    const tracker = new ConfirmationTracker();
    tracker.note({revision: 2, readAt: 10}, 1);
    expect(tracker.confirmedAt).toBeUndefined();
    tracker.noteApplied(2);
    expect(tracker.confirmedAt).toBe(10);
    tracker.note({revision: 3, readAt: 20}, 2);
    tracker.note({revision: 2, readAt: 15}, 2);
    expect(tracker.confirmedAt).toBe(15);
    expect(tracker.evidence).toEqual({revision: 3, readAt: 20});
  });
});

describe('StatusTable', () => {
  it('never makes a status younger, over any number of peers', () => {
    const hops = fastCheck.array(fastCheck.integer({min: 0, max: 9_000}), {
      minLength: 1,
      maxLength: 6,
    });
    fastCheck.assert(
      fastCheck.property(
        hops,
        fastCheck.boolean(),
        fastCheck.boolean(),
        (waits, isVoter, tableFailed) => {
          let now = 1_000_000;
          const heardAt = now;
          let table = new StatusTable();
          table.note('a', {heardAt, isVoter, tableFailed});
          for (const wait of waits) {
            const askedAt = now + wait / 2;
            now += wait;
            const next = new StatusTable();
            next.merge(table.encode(['a'], now), ['a'], askedAt);
            table = next;
          }
          const status = table.get('a');
          expect(status?.heardAt ?? 0).toBeLessThanOrEqual(heardAt);
          if (status !== undefined) {
            expect(status).toMatchObject({isVoter, tableFailed});
          }
        },
      ),
      {seed: 3},
    );
  });

  it('counts only recent voters, keeps the newest and forgets the unlisted', () => {
    const table = new StatusTable();
    const ids = ['a', 'b', 'c', 'd'];
    table.note('a', {heardAt: 50, isVoter: true, tableFailed: true});
    table.note('a', {heardAt: 40, isVoter: true, tableFailed: false});
    table.note('b', {heardAt: 50, isVoter: false, tableFailed: true});
    table.note('c', {heardAt: 9, isVoter: true, tableFailed: true});
    table.note('d', {heardAt: 50, isVoter: true, tableFailed: false});
    expect(table.countFailed(ids, 60, 50)).toBe(1);
    table.merge(btoa('x'), ids, 70);
    table.keepOnly(['d']);
    expect(table.get('a')).toBeUndefined();
  });
});

describe('the life cycle of an instance', () => {
  const events: readonly LifecycleEvent[] = [
    'confirmed',
    'unconfirmed',
    'leave',
    'stop',
  ];

  it('handles every event in every state and reaches every state', () => {
    const reached = new Set<LifecycleState>([instanceLifecycle.initial]);
    for (const state of reached) {
      for (const event of state === 'stopped' ? [] : events) {
        const step = instanceLifecycle.next(state, event);
        expect(step.handled).toBe(true);
        reached.add(step.state);
      }
    }
    expect([...reached].sort()).toEqual(
      Object.keys(instanceLifecycle.definition.states).sort(),
    );
  });

  it('drives the standing and never leaves leaving for serving', () => {
    const clock = new FakeClock();
    const keeper = new StandingKeeper(clock);
    const confirmed = {...base, confirmedAt: base.now};
    const seen = [keeper.standing];
    keeper.evaluate(confirmed);
    seen.push(keeper.standing);
    keeper.evaluate(base);
    clock.advance(3_000);
    seen.push(keeper.standing);
    keeper.leave();
    keeper.evaluate(confirmed);
    seen.push(keeper.standing);
    expect(seen).toEqual([
      {kind: 'starting'},
      {kind: 'serving'},
      {kind: 'cutOff', sinceMilliseconds: 3_000},
      {kind: 'leaving'},
    ]);
  });
});

describe('InstanceDirectory', () => {
  const said = {id: 'a', incarnation: 'a1', ready: true, leaving: false};

  it.each([
    {
      name: 'ready when it says so',
      state: 'live' as const,
      record: said,
      heard: true,
      ready: true,
    },
    {
      name: 'not ready when never heard of lately',
      state: 'live' as const,
      record: said,
      heard: false,
      ready: false,
    },
    {
      name: 'not ready when the list has it leaving',
      state: 'leaving' as const,
      record: said,
      heard: true,
      ready: false,
    },
    {
      name: 'not ready when it says that it leaves',
      state: 'live' as const,
      record: {...said, leaving: true},
      heard: true,
      ready: false,
    },
  ])('$name', ({state, record, heard, ready}) => {
    const directory = new InstanceDirectory();
    directory.applyList([instanceMember('a', state)]);
    directory.note(record, 10);
    expect(directory.views(() => heard)[0]).toMatchObject({
      ready,
      incarnation: 'a1',
    });
  });

  it('keeps the newest record and is bounded for unlisted instances', () => {
    const directory = new InstanceDirectory();
    directory.applyList([instanceMember('a')]);
    expect(directory.note(said, 10)).toBe(true);
    expect(directory.note({...said, ready: false}, 9)).toBe(false);
    const taken = Array.from({length: 500}, (_, index) =>
      directory.note({...said, id: `x${index}`}, 10),
    );
    expect(taken.filter(Boolean).length).toBeLessThan(100);
    expect(directory.applyList([instanceMember('a')]).instancesChanged).toBe(
      false,
    );
  });
});

describe('views', () => {
  const first: SystemView = {
    sequence: 1,
    standing: {kind: 'serving'},
    configuration: {...emptyConfiguration, revision: 5},
    instances: [],
    upstreams: [],
  };

  it('are sent only as far as they changed', () => {
    const history = new ViewHistory('s', first);
    const all = history.updateSince(undefined);
    expect(Object.keys(all)).toEqual([
      'position',
      'standing',
      'configuration',
      'instances',
      'upstreams',
    ]);
    history.note({...first, sequence: 2, instances: []});
    expect(history.isCurrent(all.position)).toBe(false);
    expect(Object.keys(history.updateSince(all.position))).toEqual([
      'position',
      'standing',
      'instances',
    ]);
    expect(history.isCurrent({source: 'other', sequence: 2})).toBe(false);
    expect(history.updateSince({source: 'other', sequence: 2})).toHaveProperty(
      'configuration',
    );
  });

  it('survive a restart of the control program without going back', () => {
    const merger = new ViewMerger();
    const position = {source: 's', sequence: 1};
    merger.take({position, ...first}, 0);
    expect(merger.lost(HOLD_MILLISECONDS)).toBeUndefined();
    const restarted = {
      position,
      standing: {kind: 'starting' as const},
      configuration: emptyConfiguration,
    };
    const held = merger.take(restarted, 1_000);
    expect(held.standing.kind).toBe('serving');
    expect(held.configuration.revision).toBe(5);
    expect(merger.take(restarted, HOLD_MILLISECONDS + 1).standing.kind).toBe(
      'starting',
    );
    merger.take({position, standing: {kind: 'serving'}}, 20_000);
    expect(merger.lost(20_001 + HOLD_MILLISECONDS)?.standing.kind).toBe(
      'cutOff',
    );
  });
});
