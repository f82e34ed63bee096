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

function observation(
  upstream: string,
  outcome: StageObservation['outcome'],
  decodeMilliseconds?: number,
): StageObservation {
  const linkMilliseconds = undefined;
  return {upstream, outcome, decodeMilliseconds, linkMilliseconds, steps: 10};
}

/** Applies events to `u1`, one of four upstreams, and returns the initial of its health after each. */
function healthAfterEach(steps: string): string {
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
        tracker.observe(observation('u1', outcome), now);
      }
      return tracker.health('u1')[0];
    })
    .join('');
}

/** Title, events and expected health: h healthy, q quarantined or leaving, p probing. */
const cases: ReadonlyArray<readonly [string, string, string]> = [
  [
    'quarantines an upstream at once when a connection fails',
    '0 connection',
    'q',
  ],
  ['quarantines a silent upstream', '0 silent', 'q'],
  [
    'does not count refusals and cancellations as failures',
    '0 refused, 1 cancelled',
    'hh',
  ],
  [
    'recovers after a successful probe',
    '0 failed, 499 tick, 500 tick, 501 step',
    'qqph',
  ],
  [
    'does not extend a quarantine on further failures',
    '0 failed, 1 failed, 500 tick',
    'qqp',
  ],
  [
    'doubles the quarantine after a failed probe',
    '0 failed, 500 tick, 510 connection, 1500 tick, 1510 tick',
    'qpqqp',
  ],
  [
    'doubles the quarantine after a failure soon after recovery',
    '0 failed, 500 tick, 510 step, 600 failed, 1500 tick, 1600 tick',
    'qphqqp',
  ],
  [
    'quarantines a leaving upstream until it is listed as live',
    '0 leaving, 1 step, 2 live',
    'qqh',
  ],
];

describe('UpstreamHealthTracker', () => {
  it.each(cases)('%s', (_, steps, expected) => {
    expect(healthAfterEach(steps)).toBe(expected);
  });

  it('ramps up the sequence limit and limits it to 1 while probing', () => {
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

  it('caps the quarantines due to silence and shortens quarantines above the cap', () => {
    const tracker = new UpstreamHealthTracker();
    const names = ['u1', 'u2', 'u3', 'u4'];
    tracker.list(
      names.map(name => listed(name)),
      0,
    );
    names.forEach(name => tracker.observe(observation(name, 'silent'), 10));
    expect(names.map(name => tracker.health(name)[0]).join('')).toBe('qqhh');
    for (let now = 10; now < 5000; now += 500) {
      names.forEach(name => tracker.connectionFailed(name, now));
      tracker.tick(now + 500);
    }
    expect(names.map(name => tracker.health(name)[0]).join('')).toBe('pppp');
  });

  it('quarantines the rest of a data centre when most of it fails, but no other data centre', () => {
    const tracker = new UpstreamHealthTracker();
    const namesInA = ['a1', 'a2', 'a3', 'a4', 'a5'];
    const all = [...namesInA, 'b1', 'b2', 'b3'].map(name =>
      listed(name, name[0]),
    );
    tracker.list(all, 0);
    tracker.connectionFailed('a1', 100);
    tracker.connectionFailed('a2', 2200);
    tracker.connectionFailed('a3', 2300);
    expect(tracker.lostDataCentres(2300)).toEqual([]);
    const changes = tracker.connectionFailed('a4', 2400);
    expect(changes.map(change => `${change.upstream} ${change.cause}`)).toEqual(
      ['a4 failure', 'a5 dataCentreLost'],
    );
    expect(tracker.lostDataCentres(2400)).toEqual(['a']);
    expect(tracker.health('b1')).toBe('healthy');
  });

  it('quarantines an upstream that is much slower than its peers', () => {
    const tracker = new UpstreamHealthTracker();
    const names = ['u1', 'u2', 'u3', 'u4'];
    tracker.list(
      names.map(name => listed(name)),
      0,
    );
    for (let round = 0; round < 20; round += 1) {
      names.forEach(name =>
        tracker.observe(observation(name, 'completed', 10), round),
      );
    }
    const health = [1, 2, 3, 4, 5].map(round => {
      tracker.observe(observation('u1', 'completed', 40), 100 + round);
      return tracker.health('u1')[0];
    });
    expect(health.join('')).toBe('hhhhq');
  });

  it.each([1, 2, 3, 4])(
    'changes no health in an hour without failures, seed %s',
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
        const batchFactor = 1 + random.next();
        const pauseFactor = random.next() < 0.05 ? 8 : 1;
        const draw = random.next();
        const outcome =
          draw < 0.1 ? 'refused' : draw < 0.2 ? 'cancelled' : 'completed';
        const changes = [
          ...tracker.observe(
            observation(name, outcome, 10 * batchFactor * pauseFactor),
            now,
          ),
          ...tracker.tick(now),
        ];
        expect(changes).toEqual([]);
      }
    },
  );
});
