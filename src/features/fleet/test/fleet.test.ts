import {describe, expect, it} from 'vitest';

import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {SlownessTracker} from '../common/slownessTracker.js';
import {SuspicionTracker} from '../common/suspicionTracker.js';
import {UpstreamDirectory} from '../common/upstreamDirectory.js';
import {UpstreamLoadTracker} from '../common/upstreamLoadTracker.js';
import {makeUpstream} from './upstreams.js';

const one = makeUpstream({id: 'one', address: '10.0.0.1:1'});
const two = makeUpstream({id: 'two', address: '10.0.0.2:1'});
const successor = makeUpstream({id: 'successor', address: '10.0.0.1:1'});

describe('the upstream directory', () => {
  const cases = [
    {
      name: 'removes a missing upstream while the list is read regularly',
      gaps: [900],
      lists: [[one, two], [two]],
      expected: ['two'],
    },
    {
      name: 'retains a missing upstream right after an outage',
      gaps: [8000],
      lists: [[one, two], [two]],
      expected: ['one', 'two'],
    },
    {
      name: 'removes an upstream that is still missing two seconds after an outage',
      gaps: [8000, 900, 900, 900],
      lists: [[one, two], [two], [two], [two], [two]],
      expected: ['two'],
    },
    {
      name: 'does not retain a missing upstream whose address is reused',
      gaps: [8000],
      lists: [
        [one, two],
        [successor, two],
      ],
      expected: ['successor', 'two'],
    },
  ];

  it.each(cases)('$name', ({gaps, lists, expected}) => {
    const clock = new FakeClock();
    const directory = new UpstreamDirectory(clock, new SilentLogger());
    // The first read counts as a read after an outage.
    directory.replace(lists[0]!);
    clock.advance(1000);
    directory.replace(lists[0]!);
    clock.advance(1000);
    directory.replace(lists[0]!);
    clock.advance(1000);
    directory.replace(lists[0]!);
    lists.slice(1).forEach((list, index) => {
      clock.advance(gaps[index]!);
      directory.replace(list);
    });
    const ids = directory.ofService('s').map(({id}) => id);
    expect([...ids].sort()).toEqual(expected);
  });

  it('removes retained upstreams two seconds after an outage without another read', () => {
    const clock = new FakeClock();
    const directory = new UpstreamDirectory(clock, new SilentLogger());
    directory.replace([one, two]);
    clock.advance(8000);
    directory.replace([two]);
    clock.advance(1999);
    expect(directory.find('one')).toBeDefined();
    clock.advance(2);
    expect(directory.find('one')).toBeUndefined();
  });

  it.each([
    {name: 'its first read', gaps: [], outages: 0},
    {name: 'regular reads', gaps: [900, 2_400], outages: 0},
    {name: 'a read after an outage', gaps: [900, 8_000, 900], outages: 1},
  ])('tells of $outages outages at $name', async ({gaps, outages}) => {
    const clock = new FakeClock();
    const directory = new UpstreamDirectory(clock, new SilentLogger());
    let count = 0;
    directory.onDidEndOutage(() => count++);
    directory.replace([one]);
    for (const gap of gaps) {
      await clock.advanceAsync(gap);
      directory.replace([one]);
    }
    await clock.advanceAsync(1);
    expect(count).toBe(outages);
  });

  it('detects that an upstream starts leaving', () => {
    const clock = new FakeClock();
    const directory = new UpstreamDirectory(clock, new SilentLogger());
    directory.replace([one]);
    directory.replace([{...one, isLeaving: true}]);
    expect(directory.find('one')?.isLeaving).toBe(true);
  });
});

/** Waits until asynchronous event listeners have run. */
async function flushMicrotasks(): Promise<void> {
  for (let turn = 0; turn < 10; turn++) {
    await Promise.resolve();
  }
}

describe('suspicions', () => {
  it('end with an answered probe', () => {
    const suspicions = new SuspicionTracker(
      new FakeClock(),
      new SilentLogger(),
    );
    suspicions.suspect('one', 'silent', {});
    expect(suspicions.isSuspect('one')).toBe(true);
    suspicions.clear('one', 'answered');
    expect(suspicions.isSuspect('one')).toBe(false);
  });

  it.each([
    {refusals: 1, holds: 299, ends: 300},
    {refusals: 2, holds: 599, ends: 600},
    {refusals: 3, holds: 1199, ends: 1200},
    {refusals: 9, holds: 4999, ends: 5000},
  ])(
    'exclude an upstream that refused $refusals times for $ends ms despite answered probes',
    ({refusals, holds, ends}) => {
      const clock = new FakeClock();
      const suspicions = new SuspicionTracker(clock, new SilentLogger());
      for (let count = 1; count < refusals; count++) {
        suspicions.suspect('one', 'refusing', {});
        clock.advance(5000);
        suspicions.clear('one', 'answered');
      }
      suspicions.suspect('one', 'refusing', {});
      clock.advance(holds);
      suspicions.clear('one', 'answered');
      expect(suspicions.isSuspect('one')).toBe(true);
      clock.advance(ends - holds);
      suspicions.clear('one', 'answered');
      expect(suspicions.isSuspect('one')).toBe(false);
    },
  );

  it.each([
    {
      reasons: ['refusing', 'silent'],
      notified: ['refusing', 'silent'],
      lost: true,
    },
    {
      reasons: ['refusing', 'reset'],
      notified: ['refusing', 'reset'],
      lost: true,
    },
    {reasons: ['refusing', 'refusing'], notified: ['refusing'], lost: false},
    {reasons: ['silent', 'refusing'], notified: ['silent'], lost: true},
    {reasons: ['silent', 'reset'], notified: ['silent'], lost: true},
  ] as const)(
    'raised for $reasons in a row fire events for $notified',
    async ({reasons, notified, lost}) => {
      const suspicions = new SuspicionTracker(
        new FakeClock(),
        new SilentLogger(),
      );
      const notifiedReasons: string[] = [];
      suspicions.onDidSuspect(({reason}) => notifiedReasons.push(reason));
      reasons.forEach(reason => suspicions.suspect('one', reason, {}));
      await flushMicrotasks();
      expect(notifiedReasons).toEqual(notified);
      expect(suspicions.isLost('one')).toBe(lost);
    },
  );

  it('end at once when the upstream leaves the list', () => {
    const suspicions = new SuspicionTracker(
      new FakeClock(),
      new SilentLogger(),
    );
    suspicions.suspect('one', 'refusing', {});
    suspicions.clear('one', 'gone');
    expect(suspicions.isSuspect('one')).toBe(false);
  });
});

describe('the load of an upstream', () => {
  it('is the sum of what this instance and its peers have on it', () => {
    const load = new UpstreamLoadTracker();
    load.add('one', 100);
    load.add('one', 50);
    load.remove('one', 100);
    load.setPeerLoad(
      'a',
      0,
      new Map([['one', {requests: 2, starts: 0, tokenLayers: 20}]]),
    );
    load.setPeerLoad(
      'b',
      0,
      new Map([['one', {requests: 1, starts: 0, tokenLayers: 5}]]),
    );
    load.setPeerLoad(
      'a',
      500,
      new Map([['one', {requests: 1, starts: 1, tokenLayers: 10}]]),
    );
    expect(load.totalOf('one')).toEqual({
      requests: 3,
      starts: 2,
      tokenLayers: 65,
    });
  });

  // Guards against loads that count for less the more instances there are, since a peer is heard of more seldom then.
  it.each([
    {peerCount: 2, total: 25},
    {peerCount: 18, total: 225},
    {peerCount: 85, total: 1_062.5},
    {peerCount: 369, total: 4_612.5},
  ])(
    'counts two recent reports for all of $peerCount peers',
    ({peerCount, total}) => {
      const load = new UpstreamLoadTracker(() => peerCount);
      const report = {requests: 2, starts: 1, tokenLayers: 10};
      load.setPeerLoad('a', 0, new Map([['one', report]]));
      load.setPeerLoad(
        'b',
        500,
        new Map([['one', {...report, tokenLayers: 15}]]),
      );
      expect(load.totalOf('one')).toEqual({
        requests: 2 * peerCount,
        starts: peerCount,
        tokenLayers: total,
      });
    },
  );

  it('excludes peers that have not reported recently', () => {
    const load = new UpstreamLoadTracker();
    load.setPeerLoad(
      'a',
      0,
      new Map([['one', {requests: 2, starts: 0, tokenLayers: 20}]]),
    );
    load.setPeerLoad('b', 4000, new Map());
    expect(load.totalOf('one')).toEqual({
      requests: 0,
      starts: 0,
      tokenLayers: 0,
    });
  });
});

it('a slowness factor exchanged among peers expires when its upstream reports no more', () => {
  const clock = new FakeClock();
  const peers = [...Array(3)].map(
    () => new SlownessTracker(clock, new SilentLogger()),
  );
  peers[0]!.recordOwn('one', 12);
  const exchangeFactors = (): void => {
    for (const sender of peers) {
      peers.forEach(peer =>
        sender.own.forEach(reading => peer.recordFromPeer(reading)),
      );
    }
  };
  exchangeFactors();
  expect(peers.map(peer => peer.isSlow('one'))).toEqual([true, true, true]);
  for (let passed = 0; passed < 12; passed++) {
    clock.advance(500);
    exchangeFactors();
  }
  expect(peers.map(peer => peer.factorOf('one'))).toEqual([1, 1, 1]);
});

it('the latest slowness reading applies, whether from this instance or a peer', () => {
  const clock = new FakeClock();
  const slowness = new SlownessTracker(clock, new SilentLogger());
  clock.advance(1000);
  slowness.recordOwn('one', 1);
  slowness.recordFromPeer({upstream: 'one', factor: 12, ageMilliseconds: 500});
  expect(slowness.factorOf('one')).toBe(1);
  clock.advance(1000);
  slowness.recordFromPeer({upstream: 'one', factor: 12, ageMilliseconds: 500});
  expect(slowness.factorOf('one')).toBe(12);
});

it('a reported slowness factor expires', () => {
  const clock = new FakeClock();
  const slowness = new SlownessTracker(clock, new SilentLogger());
  slowness.recordOwn('one', 5);
  slowness.recordOwn('two', 1.05);
  expect([slowness.factorOf('one'), slowness.factorOf('two')]).toEqual([5, 1]);
  clock.advance(5001);
  expect(slowness.factorOf('one')).toBe(1);
});
