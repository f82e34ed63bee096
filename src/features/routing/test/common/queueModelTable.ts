import {SeededRandomSource} from '../../../../base/common/randomSource.js';
import {LaxityPolicy} from '../../common/laxityPolicy.js';
import {LeastLoadedPolicy} from '../../common/leastLoadedPolicy.js';
import {RoundRobinPolicy} from '../../common/roundRobinPolicy.js';
import {RoutingPolicy} from '../../common/routing.js';
import {StaticThresholdPolicy} from '../../common/staticThresholdPolicy.js';
import {TwoChoicesPolicy} from '../../common/twoChoicesPolicy.js';
import {QueueCase, runQueueModel} from './queueModel.js';

/** Prints the queue model's table of policies: mean of the seeds given as arguments (1 2 3 by default). */

const policies: ReadonlyArray<() => RoutingPolicy> = [
  () => new RoundRobinPolicy(),
  () => new LeastLoadedPolicy(),
  () => new TwoChoicesPolicy(new SeededRandomSource(1)),
  () => new StaticThresholdPolicy(400),
  () => new LaxityPolicy('leastPrefill'),
  () => new LaxityPolicy('earliestFinish'),
  () => new LaxityPolicy('bestFit'),
];
const cells = [
  {replicas: 14, stages: 2, slots: 16, milliseconds: 30000},
  {replicas: 4, stages: 2, slots: 4, milliseconds: 100000},
];
const seeds =
  process.argv.length > 2 ? process.argv.slice(2).map(Number) : [1, 2, 3];

for (const cell of cells) {
  for (const load of [0.8, 1, 1.5]) {
    console.log(
      `${cell.replicas} replicas x ${cell.stages} stages x ${cell.slots} slots, load ${load}: ratio, worst small, large, late`,
    );
    for (const makePolicy of policies) {
      const results = seeds.map(seed => {
        const one: QueueCase = {
          ...cell,
          load,
          seed,
          smallAccounts: 8,
          largeShare: 0.5,
          error: 0.2,
        };
        return runQueueModel(one, makePolicy());
      });
      const mean = (
        pick: (result: (typeof results)[number]) => number,
      ): string =>
        (results.map(pick).reduce((a, b) => a + b, 0) / results.length).toFixed(
          3,
        );
      console.log(
        `  ${makePolicy().name}: ${mean(r => r.ratio)} ${mean(r => r.worstSmall)} ${mean(r => r.large)} ${mean(r => r.lateShare)}`,
      );
    }
  }
}
