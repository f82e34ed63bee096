import {describe, expect, it} from 'vitest';
import {LaxityPolicy} from '../../common/laxityPolicy.js';
import {RoundRobinPolicy} from '../../common/roundRobinPolicy.js';
import {runQueueModel} from './queueModel.js';
import {QueueCase} from './queueWorkload.js';

const cells = [
  {replicas: 1, stages: 2, slots: 4},
  {replicas: 4, stages: 2, slots: 4},
  {replicas: 8, stages: 1, slots: 8},
];
const cases: QueueCase[] = cells.flatMap(cell =>
  [0.3, 0.8, 1, 1.5].flatMap(load =>
    [61, 30].flatMap(betweenTarget =>
      [1, 2, 3].map(seed => ({
        ...cell,
        load,
        betweenTarget,
        seed,
        smallAccounts: 8,
        largeShare: seed === 3 ? 0 : 0.5,
        error: 0.2,
        milliseconds: 20000,
      })),
    ),
  ),
);

describe('LaxityPolicy, compared with round robin without admission,', () => {
  it.each(cases)(
    'completes at least as many requests on time: $replicas replicas, load $load, token target $betweenTarget, seed $seed',
    queueCase => {
      const roundRobin = runQueueModel(queueCase, new RoundRobinPolicy());
      const laxity = runQueueModel(queueCase, new LaxityPolicy());
      expect(laxity.onTimeRequests).toBeGreaterThanOrEqual(
        roundRobin.onTimeRequests,
      );
    },
  );

  it('keeps small accounts near their share while one account sends half of a load of 1.5 times the capacity', () => {
    const queueCase = cases.find(
      candidate => candidate.replicas === 8 && candidate.load === 1.5,
    )!;
    const long = {...queueCase, milliseconds: 60000};
    const roundRobin = runQueueModel(long, new RoundRobinPolicy());
    const laxity = runQueueModel(long, new LaxityPolicy());
    expect(laxity.ratio).toBeGreaterThan(0.9);
    expect(laxity.meanSmall).toBeGreaterThan(0.9);
    expect(roundRobin.meanSmall).toBeLessThan(0.5);
  });
});
