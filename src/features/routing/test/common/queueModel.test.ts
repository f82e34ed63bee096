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

describe('LaxityPolicy against round robin without admission', () => {
  it.each(cases)(
    '$replicas replicas, load $load, token target $betweenTarget, seed $seed: never fewer on time',
    one => {
      const naive = runQueueModel(one, new RoundRobinPolicy());
      const laxity = runQueueModel(one, new LaxityPolicy());
      expect(laxity.onTimeRequests).toBeGreaterThanOrEqual(
        naive.onTimeRequests,
      );
    },
  );

  it('keeps small accounts near their share beside one that sends half of 1.5 times the capacity', () => {
    const one = cases.find(each => each.replicas === 8 && each.load === 1.5)!;
    const long = {...one, milliseconds: 60000};
    const naive = runQueueModel(long, new RoundRobinPolicy());
    const laxity = runQueueModel(long, new LaxityPolicy());
    expect(laxity.ratio).toBeGreaterThan(0.9);
    expect(laxity.meanSmall).toBeGreaterThan(0.9);
    expect(naive.meanSmall).toBeLessThan(0.5);
  });
});
