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
  StandingStateMachine,
} from '../common/standingStateMachine.js';
import {InstanceStatusTable} from '../common/instanceStatusTable.js';
import {SystemView} from '../common/systemView.js';
import {ViewHistory} from '../common/viewHistory.js';
import {STANDING_HOLD_MILLISECONDS, ViewMerger} from '../common/viewMerger.js';

const base: ConfirmationInput = {
  now: 100_000,
  boundMilliseconds: 10_000,
  appliedRevision: 3,
  knownRevision: 3,
  confirmedAt: undefined,
  outageCounts: {listed: 5, failed: 0},
};

describe('decideConfirmation', () => {
  const cases: ReadonlyArray<
    readonly [string, Partial<ConfirmationInput>, string]
  > = [
    ['rejects a configuration that was never confirmed', {}, 'unconfirmed'],
    ['accepts a confirmation at the bound', {confirmedAt: 90_000}, 'confirmed'],
    [
      'rejects a confirmation older than the bound',
      {confirmedAt: 89_999},
      'unconfirmed',
    ],
    [
      'accepts a confirmation within the bound although a newer revision is known',
      {confirmedAt: 95_000, knownRevision: 4},
      'confirmed',
    ],
    [
      'accepts when a majority lacks the table',
      {outageCounts: {listed: 5, failed: 3}},
      'confirmed',
    ],
    [
      'rejects when only half lacks the table',
      {outageCounts: {listed: 4, failed: 2}},
      'unconfirmed',
    ],
    [
      'rejects when a majority lacks the table but a newer revision is known',
      {outageCounts: {listed: 5, failed: 5}, knownRevision: 4},
      'unconfirmed',
    ],
    [
      'rejects when the list is empty',
      {outageCounts: {listed: 0, failed: 0}},
      'unconfirmed',
    ],
  ];

  it.each(cases)('%s', (_name, change, expected) => {
    expect(decideConfirmation({...base, ...change})).toBe(expected);
  });

  it('counts a read only after its revision was applied', () => {
    const tracker = new ConfirmationTracker();
    tracker.addObservation({revision: 2, readAt: 10}, 1);
    expect(tracker.confirmedAt).toBeUndefined();
    tracker.handleRevisionApplied(2);
    expect(tracker.confirmedAt).toBe(10);
    tracker.addObservation({revision: 3, readAt: 20}, 2);
    tracker.addObservation({revision: 2, readAt: 15}, 2);
    expect(tracker.confirmedAt).toBe(15);
    expect(tracker.evidence).toEqual({revision: 3, readAt: 20});
  });
});

describe('InstanceStatusTable', () => {
  it('never makes a status newer when it passes through several peers', () => {
    const hops = fastCheck.array(fastCheck.integer({min: 0, max: 9_000}), {
      minLength: 1,
      maxLength: 6,
    });
    fastCheck.assert(
      fastCheck.property(
        hops,
        fastCheck.boolean(),
        fastCheck.boolean(),
        (delays, isVoter, hasFailedRead) => {
          let now = 1_000_000;
          const observedAt = now;
          let table = new InstanceStatusTable();
          table.update('a', {observedAt, isVoter, hasFailedRead});
          for (const delay of delays) {
            const requestedAt = now + delay / 2;
            now += delay;
            const next = new InstanceStatusTable();
            next.merge(table.encode(['a'], now), ['a'], requestedAt);
            table = next;
          }
          const status = table.get('a');
          expect(status?.observedAt ?? 0).toBeLessThanOrEqual(observedAt);
          if (status !== undefined) {
            expect(status).toMatchObject({isVoter, hasFailedRead});
          }
        },
      ),
      {seed: 3},
    );
  });

  it('counts only recent voters, keeps the newest status and removes unlisted instances', () => {
    const table = new InstanceStatusTable();
    const ids = ['a', 'b', 'c', 'd'];
    table.update('a', {observedAt: 50, isVoter: true, hasFailedRead: true});
    table.update('a', {observedAt: 40, isVoter: true, hasFailedRead: false});
    table.update('b', {observedAt: 50, isVoter: false, hasFailedRead: true});
    table.update('c', {observedAt: 9, isVoter: true, hasFailedRead: true});
    table.update('d', {observedAt: 50, isVoter: true, hasFailedRead: false});
    expect(table.countTableFailures(ids, 60, 50)).toBe(1);
    table.merge(btoa('x'), ids, 70);
    table.keepOnly(['d']);
    expect(table.get('a')).toBeUndefined();
  });
});

describe('the instance life cycle', () => {
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

  it('determines the standing and never returns from leaving to serving', () => {
    const clock = new FakeClock();
    const stateMachine = new StandingStateMachine(clock);
    const confirmed = {...base, confirmedAt: base.now};
    const standings = [stateMachine.standing];
    stateMachine.updateConfirmation(confirmed);
    standings.push(stateMachine.standing);
    stateMachine.updateConfirmation(base);
    clock.advance(3_000);
    standings.push(stateMachine.standing);
    stateMachine.leave();
    stateMachine.updateConfirmation(confirmed);
    standings.push(stateMachine.standing);
    expect(standings).toEqual([
      {kind: 'starting'},
      {kind: 'serving'},
      {kind: 'cutOff', sinceMilliseconds: 3_000},
      {kind: 'leaving'},
    ]);
  });
});

describe('InstanceDirectory', () => {
  const record = {id: 'a', incarnation: 'a1', ready: true, leaving: false};

  it.each([
    {
      name: 'ready if its record says so',
      state: 'live' as const,
      record,
      heard: true,
      ready: true,
    },
    {
      name: 'not ready if it was not seen recently',
      state: 'live' as const,
      record,
      heard: false,
      ready: false,
    },
    {
      name: 'not ready if listed as leaving',
      state: 'leaving' as const,
      record,
      heard: true,
      ready: false,
    },
    {
      name: 'not ready if its record says leaving',
      state: 'live' as const,
      record: {...record, leaving: true},
      heard: true,
      ready: false,
    },
  ])('shows an instance as $name', ({state, record, heard, ready}) => {
    const directory = new InstanceDirectory();
    directory.applyList([instanceMember('a', state)]);
    directory.updateRecord(record, 10);
    expect(directory.views(() => heard)[0]).toMatchObject({
      ready,
      incarnation: 'a1',
    });
  });

  it('keeps the newest record and bounds the records of unlisted instances', () => {
    const directory = new InstanceDirectory();
    directory.applyList([instanceMember('a')]);
    expect(directory.updateRecord(record, 10)).toBe(true);
    expect(directory.updateRecord({...record, ready: false}, 9)).toBe(false);
    const stored = Array.from({length: 500}, (_, index) =>
      directory.updateRecord({...record, id: `x${index}`}, 10),
    );
    expect(stored.filter(Boolean).length).toBeLessThan(100);
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

  it('contain only the parts that changed', () => {
    const history = new ViewHistory('s', first);
    const all = history.updateSince(undefined);
    expect(Object.keys(all)).toEqual([
      'position',
      'standing',
      'configuration',
      'instances',
      'upstreams',
    ]);
    history.update({...first, sequence: 2, instances: []});
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

  it('keep the standing and the configuration over a restart of the control program', () => {
    const merger = new ViewMerger();
    const position = {source: 's', sequence: 1};
    merger.applyUpdate({position, ...first}, 0);
    expect(merger.lost(STANDING_HOLD_MILLISECONDS)).toBeUndefined();
    const restarted = {
      position,
      standing: {kind: 'starting' as const},
      configuration: emptyConfiguration,
    };
    const merged = merger.applyUpdate(restarted, 1_000);
    expect(merged.standing.kind).toBe('serving');
    expect(merged.configuration.revision).toBe(5);
    expect(
      merger.applyUpdate(restarted, STANDING_HOLD_MILLISECONDS + 1).standing
        .kind,
    ).toBe('starting');
    merger.applyUpdate({position, standing: {kind: 'serving'}}, 20_000);
    expect(
      merger.lost(20_001 + STANDING_HOLD_MILLISECONDS)?.standing.kind,
    ).toBe('cutOff');
  });
});
