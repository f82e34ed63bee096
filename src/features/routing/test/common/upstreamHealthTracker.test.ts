import {describe, expect, it} from 'vitest';
import {SeededRandomSource} from '../../../../base/common/randomSource.js';
import {StageObservation} from '../../common/routing.js';
import {
  ListedUpstream,
  UpstreamHealthTracker,
} from '../../common/upstreamHealthTracker.js';

function listed(
  upstream: string,
  dataCentre = 'd',
  leaving = false,
): ListedUpstream {
  return {upstream, dataCentre, kind: 'k', leaving};
}

function seen(
  upstream: string,
  outcome: StageObservation['outcome'],
  decodeMilliseconds?: number,
): StageObservation {
  const linkMilliseconds = undefined;
  return {upstream, outcome, decodeMilliseconds, linkMilliseconds, steps: 10};
}

/** Applies events to `u1` of four upstreams and notes its health after each. */
function follow(steps: string): string {
  const tracker = new UpstreamHealthTracker();
  const names = ['u1', 'u2', 'u3', 'u4'];
  tracker.list(
    names.map(name => listed(name)),
    0,
  );
  return steps
    .split(', ')
    .map(step => {
      const [time, event] = step.split(' ');
      const now = Number(time);
      if (event === 'tick') {
        tracker.tick(now);
      } else if (event === 'connection') {
        tracker.connectionFailed('u1', now);
      } else if (event === 'step') {
        tracker.stepSucceeded('u1', now);
      } else if (event === 'leaving' || event === 'live') {
        const all = names.map(name =>
          listed(name, 'd', name === 'u1' && event === 'leaving'),
        );
        tracker.list(all, now);
      } else {
        const outcome = event as StageObservation['outcome'];
        tracker.observe(seen('u1', outcome), now);
      }
      return tracker.health('u1')[0];
    })
    .join('');
}

/** h healthy, q quarantined (also leaving), p probing. */
const cases: ReadonlyArray<readonly [string, string, string]> = [
  ['a broken connection counts at once', '0 connection', 'q'],
  ['silence counts', '0 silent', 'q'],
  ['refusal and cancellation are no faults', '0 refused, 1 cancelled', 'hh'],
  ['back on a probe', '0 failed, 499 tick, 500 tick, 501 step', 'qqph'],
  ['one event, one quarantine', '0 failed, 1 failed, 500 tick', 'qqp'],
  [
    'a failed probe doubles the quarantine',
    '0 failed, 500 tick, 510 connection, 1500 tick, 1510 tick',
    'qpqqp',
  ],
  [
    'a relapse soon after the return doubles it too',
    '0 failed, 500 tick, 510 step, 600 failed, 1500 tick, 1600 tick',
    'qphqqp',
  ],
  ['leaving takes no new work', '0 leaving, 1 step, 2 live', 'qqh'],
];

describe('UpstreamHealthTracker', () => {
  it.each(cases)('%s', (_, steps, expected) => {
    expect(follow(steps)).toBe(expected);
  });

  it('ramps up the sequence limit; one sequence while probing', () => {
    const tracker = new UpstreamHealthTracker();
    tracker.list([listed('u'), listed('v')], 0);
    const limits = [0, 1000, 2000].map(now =>
      tracker.sequenceLimit('u', 16, now),
    );
    expect(limits).toEqual([4, 10, 16]);
    tracker.connectionFailed('u', 3000);
    tracker.tick(3500);
    expect(tracker.sequenceLimit('u', 16, 3500)).toBe(1);
    tracker.stepSucceeded('u', 3600);
    expect(tracker.sequenceLimit('u', 16, 3600)).toBe(4);
  });

  it('caps what silence keeps out, and cuts quarantines short above the cap', () => {
    const tracker = new UpstreamHealthTracker();
    const names = ['u1', 'u2', 'u3', 'u4'];
    tracker.list(
      names.map(name => listed(name)),
      0,
    );
    names.forEach(name => tracker.observe(seen(name, 'silent'), 10));
    expect(names.map(name => tracker.health(name)[0]).join('')).toBe('qqhh');
    for (let now = 10; now < 5000; now += 500) {
      names.forEach(name => tracker.connectionFailed(name, now));
      tracker.tick(now + 500);
    }
    expect(names.map(name => tracker.health(name)[0]).join('')).toBe('pppp');
  });

  it('takes the loss of most of a data centre as one event, of no other', () => {
    const tracker = new UpstreamHealthTracker();
    const near = ['a1', 'a2', 'a3', 'a4', 'a5'];
    const all = [...near, 'b1', 'b2', 'b3'].map(name => listed(name, name[0]));
    tracker.list(all, 0);
    tracker.connectionFailed('a1', 100);
    tracker.connectionFailed('a2', 2200);
    tracker.connectionFailed('a3', 2300);
    expect(tracker.lostDataCentres(2300)).toEqual([]);
    const changes = tracker.connectionFailed('a4', 2400);
    expect(changes.map(one => `${one.upstream} ${one.cause}`)).toEqual([
      'a4 failure',
      'a5 dataCentreLost',
    ]);
    expect(tracker.lostDataCentres(2400)).toEqual(['a']);
    expect(tracker.health('b1')).toBe('healthy');
  });

  it('quarantines what is much slower than its peers', () => {
    const tracker = new UpstreamHealthTracker();
    const names = ['u1', 'u2', 'u3', 'u4'];
    tracker.list(
      names.map(name => listed(name)),
      0,
    );
    for (let round = 0; round < 20; round += 1) {
      names.forEach(name =>
        tracker.observe(seen(name, 'completed', 10), round),
      );
    }
    const health = [1, 2, 3, 4, 5].map(round => {
      tracker.observe(seen('u1', 'completed', 40), 100 + round);
      return tracker.health('u1')[0];
    });
    expect(health.join('')).toBe('hhhhq');
  });

  it.each([1, 2, 3, 4])(
    'finds no fault in an hour without one, seed %s',
    seed => {
      const random = new SeededRandomSource(seed);
      const tracker = new UpstreamHealthTracker();
      const names = [...Array(12).keys()].map(index => `u${index}`);
      tracker.list(
        names.map((name, index) => listed(name, `d${index % 2}`)),
        0,
      );
      for (let now = 0; now < 3600000; now += 100) {
        const name = names[random.nextInteger(names.length)]!;
        const batch = 1 + random.next();
        const pause = random.next() < 0.05 ? 8 : 1;
        const draw = random.next();
        const outcome =
          draw < 0.1 ? 'refused' : draw < 0.2 ? 'cancelled' : 'completed';
        const changes = [
          ...tracker.observe(seen(name, outcome, 10 * batch * pause), now),
          ...tracker.tick(now),
        ];
        expect(changes).toEqual([]);
      }
    },
  );
});
