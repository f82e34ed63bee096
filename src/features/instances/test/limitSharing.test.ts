import {describe, expect, it} from 'vitest';

import {SeededRandomSource} from '../../../base/common/randomSource.js';
import {LimitScenario, LimitSimulation} from './limitSimulation.js';

/** Whether instances that share a limit keep to it together, whatever happens to them and to their views. */

const SEEDS = [1, 2, 3];
const ANSWER_MILLISECONDS = 60;
const SLOW_ANSWER_MILLISECONDS = 3_000;
const LENGTH_MILLISECONDS = 14_000;

/** Shorter, since each instance tells others about all. */
const LENGTH_AT_SIZE_MILLISECONDS = 8_000;

const RESTART_PERIOD_MILLISECONDS = 1_000;
const RESTART_MILLISECONDS = 600;
const DISTURBED_FROM = 3_500;
const DISTURBED_UNTIL = 9_000;

type Disturb = Required<LimitScenario>['disturb'];

/** The published bound: what a limit allows in four seconds, one and a half times, and five requests. */
function allowedInWindow(requestsPerSecond: number): number {
  return 1.5 * 4 * requestsPerSecond + 5;
}

function play(scenario: LimitScenario, seed: number): LimitSimulation {
  const random = new SeededRandomSource(seed);
  const simulation = new LimitSimulation(scenario, random);
  simulation.run();
  return simulation;
}

const restartInTurn: Disturb = (simulation, now) => {
  simulation.instances.forEach((instance, index) => {
    const stopsAt = 2_000 + RESTART_PERIOD_MILLISECONDS * index;
    if (now === stopsAt) {
      simulation.stop(index);
    } else if (now === stopsAt + RESTART_MILLISECONDS) {
      instance.start();
    }
  });
};

const killMost: Disturb = ({instances}, now) => {
  const killed = instances.slice(0, Math.ceil(instances.length * 0.6));
  if (now === DISTURBED_FROM) {
    killed.forEach(instance => (instance.isRunning = false));
  } else if (now === DISTURBED_FROM + 2_000) {
    killed.forEach(instance => instance.start());
  }
};

const partition: Disturb = ({instances}, now) => {
  const isCut = now >= DISTURBED_FROM && now < DISTURBED_UNTIL;
  instances.forEach(instance => {
    instance.side = isCut ? instance.index % 2 : 0;
  });
};

const isolateEach: Disturb = ({instances}, now) => {
  const isCut = now >= DISTURBED_FROM && now < DISTURBED_UNTIL;
  instances.forEach(instance => {
    instance.side = isCut ? instance.index : 0;
  });
};

const loseAnswers: Disturb = ({instances}, now) => {
  const isLost = now >= DISTURBED_FROM && now < DISTURBED_UNTIL;
  instances.forEach(instance => (instance.isAnswered = !isLost));
};

const disturbances: ReadonlyArray<{name: string; disturb: Disturb}> = [
  {name: 'undisturbed', disturb: () => undefined},
  {name: 'restarted one after the other', disturb: restartInTurn},
  {name: 'killed in great part at once', disturb: killMost},
  {name: 'partitioned into halves', disturb: partition},
  {name: 'each cut off from all others', disturb: isolateEach},
  {name: 'without answers of the upstream', disturb: loseAnswers},
];

describe.each([3, 7, 19])('%i instances that share a limit', instanceCount => {
  describe.each([0, 0.3, 1, 1.9, 8, 40])(
    'of %d a second',
    requestsPerSecond => {
      it.each(
        disturbances.flatMap(disturbance =>
          [ANSWER_MILLISECONDS, SLOW_ANSWER_MILLISECONDS].map(
            answerMilliseconds => ({...disturbance, answerMilliseconds}),
          ),
        ),
      )(
        'send no more than the published bound while $name, with answers after $answerMilliseconds ms',
        ({disturb, answerMilliseconds}) => {
          for (const seed of SEEDS) {
            const simulation = play(
              {
                instanceCount,
                requestsPerSecond,
                demandOf: () => 60 / instanceCount,
                answerMilliseconds,
                lengthMilliseconds: LENGTH_MILLISECONDS,
                disturb,
              },
              seed,
            );
            expect(simulation.mostInWindow).toBeLessThanOrEqual(
              allowedInWindow(requestsPerSecond),
            );
          }
        },
      );
    },
  );

  it.each([0.3, 1, 1.9, 8])(
    'use most of %d a second when each has some requests',
    requestsPerSecond => {
      const simulation = play(
        {
          instanceCount,
          requestsPerSecond,
          demandOf: () => 4,
          answerMilliseconds: ANSWER_MILLISECONDS,
          lengthMilliseconds: LENGTH_MILLISECONDS,
        },
        1,
      );
      expect(simulation.rate).toBeGreaterThan(requestsPerSecond / 2);
    },
  );

  it('try a limited upstream now and then when the holder of its limit has no requests', () => {
    const holderless = play(
      {
        instanceCount,
        requestsPerSecond: 1.9,
        demandOf: index => (index === 0 ? 4 : 0),
        answerMilliseconds: ANSWER_MILLISECONDS,
        lengthMilliseconds: LENGTH_MILLISECONDS,
      },
      1,
    );
    expect(holderless.rate).toBeGreaterThan(0);
  });
});

describe('370 instances that share a limit', () => {
  it.each(disturbances.filter(({disturb}) => disturb !== restartInTurn))(
    'send no more than the published bound while $name',
    ({disturb}) => {
      const requestsPerSecond = 1.9;
      const simulation = play(
        {
          instanceCount: 370,
          requestsPerSecond,
          demandOf: () => 2.5,
          answerMilliseconds: ANSWER_MILLISECONDS,
          lengthMilliseconds: LENGTH_AT_SIZE_MILLISECONDS,
          disturb,
        },
        1,
      );
      expect(simulation.mostInWindow).toBeLessThanOrEqual(
        allowedInWindow(requestsPerSecond),
      );
    },
  );
});
