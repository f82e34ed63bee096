import {SeededRandomSource} from '../../../../base/common/randomSource.js';
import {
  LaxityPolicy,
  pipelineSelectionRules,
} from '../../common/laxityPolicy.js';
import {LeastLoadedPolicy} from '../../common/leastLoadedPolicy.js';
import {RoundRobinPolicy} from '../../common/roundRobinPolicy.js';
import {RoutingPolicy} from '../../common/routing.js';
import {StaticThresholdPolicy} from '../../common/staticThresholdPolicy.js';
import {TwoChoicesPolicy} from '../../common/twoChoicesPolicy.js';
import {QueueResult, runQueueModel} from './queueModel.js';
import {QueueCase} from './queueWorkload.js';

/** Prints a table that compares policies in the queue model, as means over the seeds given (1 2 3 by default). */

const policies: ReadonlyArray<() => RoutingPolicy> = [
  () => new RoundRobinPolicy(),
  () => new LeastLoadedPolicy(),
  () => new TwoChoicesPolicy(new SeededRandomSource(1)),
  () => new StaticThresholdPolicy(400),
  ...pipelineSelectionRules.map(choice => () => new LaxityPolicy(choice)),
];
const cells = [
  {replicas: 14, stages: 2, slots: 16, milliseconds: 30000},
  {replicas: 4, stages: 2, slots: 4, milliseconds: 100000},
];
const accounts = {smallAccounts: 8, largeShare: 0.5, error: 0.2};
const seedArguments = process.argv.slice(2).map(Number);
const seeds = seedArguments.length > 0 ? seedArguments : [1, 2, 3];

function printRow(makePolicy: () => RoutingPolicy, queueCase: QueueCase): void {
  const results = seeds.map(seed =>
    runQueueModel({...queueCase, seed}, makePolicy()),
  );
  const mean = (key: keyof QueueResult): string =>
    (
      results.reduce((sum, result) => sum + result[key], 0) / seeds.length
    ).toFixed(3);
  const {replicas, slots, load, betweenTarget} = queueCase;
  const keys = [
    'ratio',
    'worstSmall',
    'meanSmall',
    'large',
    'lateShare',
  ] as const;
  const means = keys.map(mean);
  console.log(
    `| ${replicas} x ${slots} | ${betweenTarget} | ${load} | ${makePolicy().name} | ${means.join(' | ')} |`,
  );
}

console.log(`seeds ${seeds.join(' ')}`);
console.log(
  '| cell | token target | load | policy | ratio | worst small | mean small | large | late |',
);
for (const cell of cells) {
  for (const betweenTarget of [61, 30]) {
    for (const load of [0.8, 1, 1.5]) {
      for (const makePolicy of policies) {
        const queueCase = {...cell, ...accounts, betweenTarget, load, seed: 0};
        printRow(makePolicy, queueCase);
      }
    }
  }
}
