import * as fastCheck from 'fast-check';
import {expect, it} from 'vitest';

import {OUTAGE_STATUS_AGE_FACTOR} from '../../../features/membership/common/confirmation.js';
import {ControlCluster, setClass, defaultTimings} from './controlCluster.js';

/**
 * Random network partitions, table outages, restarts and configuration changes. What the instances serve is checked
 * every second.
 */

const INSTANCE_IDS = ['a', 'b', 'c', 'd', 'e'];
const SLACK_SECONDS = 2;
const STALENESS_LIMIT_SECONDS =
  defaultTimings.confirmationBoundSeconds * OUTAGE_STATUS_AGE_FACTOR +
  SLACK_SECONDS;

type Step =
  | {
      readonly kind: 'disconnectTable';
      readonly instanceIndices: readonly number[];
    }
  | {readonly kind: 'restoreTable'}
  | {readonly kind: 'partition'; readonly groups: readonly number[]}
  | {readonly kind: 'restart'; readonly instanceIndex: number}
  | {
      readonly kind: 'propose';
      readonly instanceIndex: number;
      readonly isResponseLost: boolean;
    }
  | {readonly kind: 'wait'; readonly seconds: number};

const index = fastCheck.integer({min: 0, max: INSTANCE_IDS.length - 1});
const steps = fastCheck.array(
  fastCheck.oneof(
    fastCheck.record({
      kind: fastCheck.constant('disconnectTable' as const),
      instanceIndices: fastCheck.uniqueArray(index, {minLength: 1}),
    }),
    fastCheck.record({kind: fastCheck.constant('restoreTable' as const)}),
    fastCheck.record({
      kind: fastCheck.constant('partition' as const),
      groups: fastCheck.array(fastCheck.integer({min: 0, max: 1}), {
        minLength: INSTANCE_IDS.length,
        maxLength: INSTANCE_IDS.length,
      }),
    }),
    fastCheck.record({
      kind: fastCheck.constant('restart' as const),
      instanceIndex: index,
    }),
    fastCheck.record({
      kind: fastCheck.constant('propose' as const),
      instanceIndex: index,
      isResponseLost: fastCheck.boolean(),
    }),
    fastCheck.record({
      kind: fastCheck.constant('wait' as const),
      seconds: fastCheck.integer({min: 1, max: 40}),
    }),
  ),
  {minLength: 4, maxLength: 14},
);

interface AcceptedChange {
  readonly revision: number;
  readonly at: number;
}

class ScenarioRun {
  readonly violations: string[] = [];
  private readonly accepted: AcceptedChange[] = [];
  private readonly highest = new Map<string, number>();
  private changeCount = 0;

  constructor(private readonly cluster: ControlCluster) {}

  async apply(step: Step): Promise<void> {
    const {cluster} = this;
    switch (step.kind) {
      case 'disconnectTable':
        step.instanceIndices.forEach(index =>
          cluster.disconnectTable(INSTANCE_IDS[index]),
        );
        return;
      case 'restoreTable':
        cluster.platform.clearFaults();
        return;
      case 'partition':
        step.groups.forEach((group, index) =>
          cluster.groups.set(INSTANCE_IDS[index] ?? '', group),
        );
        return;
      case 'restart':
        this.highest.delete(INSTANCE_IDS[step.instanceIndex] ?? '');
        cluster.start(INSTANCE_IDS[step.instanceIndex] ?? '');
        return;
      case 'propose':
        return this.propose(
          INSTANCE_IDS[step.instanceIndex] ?? '',
          step.isResponseLost,
        );
      case 'wait':
        return this.wait(step.seconds);
    }
  }

  async wait(seconds: number): Promise<void> {
    for (let second = 0; second < seconds; second++) {
      await this.cluster.run(1);
      this.checkInstances();
    }
  }

  private async propose(id: string, losesResponse: boolean): Promise<void> {
    if (losesResponse) {
      const scope = {part: 'table', access: 'write', times: 1} as const;
      this.cluster.platform.addFault({kind: 'answerLost'}, scope);
    }
    const name = `class-${++this.changeCount}`;
    const {result, handover} = await this.cluster.propose(id, [setClass(name)]);
    const acknowledged = handover?.acknowledged ?? 0;
    if (result.ok && acknowledged * 2 > INSTANCE_IDS.length) {
      const at = this.cluster.clock.monotonicMilliseconds();
      this.accepted.push({revision: result.value.revision, at});
    } else if (!result.ok && result.error.kind === 'unavailable') {
      this.checkAbsent(name);
    }
  }

  /** A change that was reported as not accepted must not be in the table. */
  private checkAbsent(name: string): void {
    const rows = this.cluster.platform.rows.scan(
      'configuration/revision/',
      undefined,
      100,
    );
    if (rows.some(row => row.value.includes(`"${name}"`))) {
      this.violations.push(`${name} was refused but is in the table`);
    }
  }

  private checkInstances(): void {
    const now = this.cluster.clock.monotonicMilliseconds();
    for (const id of INSTANCE_IDS) {
      const revision = this.cluster.revision(id);
      if (revision < (this.highest.get(id) ?? 0)) {
        this.violations.push(`${id} went back to ${revision}`);
      }
      this.highest.set(id, revision);
      const supersededBy = this.accepted.find(
        change =>
          change.revision > revision &&
          now - change.at > STALENESS_LIMIT_SECONDS * 1_000,
      );
      if (
        supersededBy !== undefined &&
        this.cluster.standing(id) === 'serving'
      ) {
        this.violations.push(
          `${id} serves ${revision}, not ${supersededBy.revision}`,
        );
      }
    }
  }
}

it('no instance serves a superseded revision beyond the limit or goes back to an older one, and no refused change is stored', async () => {
  await fastCheck.assert(
    fastCheck.asyncProperty(steps, async sequence => {
      const cluster = new ControlCluster(INSTANCE_IDS, 7);
      await cluster.startAll();
      const run = new ScenarioRun(cluster);
      for (const step of sequence) {
        await run.apply(step);
      }
      await run.wait(STALENESS_LIMIT_SECONDS + 5);
      cluster.platform.clearFaults();
      cluster.groups.clear();
      await run.wait(15);
      const serving = INSTANCE_IDS.every(
        id => cluster.standing(id) === 'serving',
      );
      cluster.dispose();
      expect(run.violations).toEqual([]);
      expect(serving).toBe(true);
    }),
    {numRuns: 40, seed: 1},
  );
});
