import * as fastCheck from 'fast-check';
import {expect, it} from 'vitest';

import {OUTAGE_EVIDENCE_FACTOR} from '../../../features/membership/common/confirmation.js';
import {ControlCluster, setClass, times} from './controlCluster.js';

/** Random cuts, outages, restarts and changes; what instances serve is checked each second. */

const IDS = ['a', 'b', 'c', 'd', 'e'];
const SLACK_SECONDS = 2;
const LIMIT_SECONDS =
  times.confirmationBoundSeconds * OUTAGE_EVIDENCE_FACTOR + SLACK_SECONDS;

type Step =
  | {readonly kind: 'cutTable'; readonly who: readonly number[]}
  | {readonly kind: 'healTable'}
  | {readonly kind: 'group'; readonly groups: readonly number[]}
  | {readonly kind: 'restart'; readonly who: number}
  | {readonly kind: 'propose'; readonly who: number; readonly lose: boolean}
  | {readonly kind: 'wait'; readonly seconds: number};

const index = fastCheck.integer({min: 0, max: IDS.length - 1});
const steps = fastCheck.array(
  fastCheck.oneof(
    fastCheck.record({
      kind: fastCheck.constant('cutTable' as const),
      who: fastCheck.uniqueArray(index, {minLength: 1}),
    }),
    fastCheck.record({kind: fastCheck.constant('healTable' as const)}),
    fastCheck.record({
      kind: fastCheck.constant('group' as const),
      groups: fastCheck.array(fastCheck.integer({min: 0, max: 1}), {
        minLength: IDS.length,
        maxLength: IDS.length,
      }),
    }),
    fastCheck.record({
      kind: fastCheck.constant('restart' as const),
      who: index,
    }),
    fastCheck.record({
      kind: fastCheck.constant('propose' as const),
      who: index,
      lose: fastCheck.boolean(),
    }),
    fastCheck.record({
      kind: fastCheck.constant('wait' as const),
      seconds: fastCheck.integer({min: 1, max: 40}),
    }),
  ),
  {minLength: 4, maxLength: 14},
);

interface Accepted {
  readonly revision: number;
  readonly at: number;
}

class Run {
  readonly violations: string[] = [];
  private readonly accepted: Accepted[] = [];
  private readonly highest = new Map<string, number>();
  private changes = 0;

  constructor(private readonly cluster: ControlCluster) {}

  async take(step: Step): Promise<void> {
    const {cluster} = this;
    switch (step.kind) {
      case 'cutTable':
        step.who.forEach(who => cluster.cutTable(IDS[who]));
        return;
      case 'healTable':
        cluster.platform.clearFaults();
        return;
      case 'group':
        step.groups.forEach((group, who) =>
          cluster.groups.set(IDS[who] ?? '', group),
        );
        return;
      case 'restart':
        this.highest.delete(IDS[step.who] ?? '');
        cluster.start(IDS[step.who] ?? '');
        return;
      case 'propose':
        return this.propose(IDS[step.who] ?? '', step.lose);
      case 'wait':
        return this.wait(step.seconds);
    }
  }

  async wait(seconds: number): Promise<void> {
    for (let second = 0; second < seconds; second++) {
      await this.cluster.run(1);
      this.check();
    }
  }

  private async propose(id: string, lose: boolean): Promise<void> {
    if (lose) {
      const scope = {part: 'table', access: 'write', times: 1} as const;
      this.cluster.platform.addFault({kind: 'answerLost'}, scope);
    }
    const name = `class-${++this.changes}`;
    const {result, handover} = await this.cluster.propose(id, [setClass(name)]);
    const informed = handover?.acknowledged ?? 0;
    if (result.ok && informed * 2 > IDS.length) {
      const at = this.cluster.clock.monotonicMilliseconds();
      this.accepted.push({revision: result.value.revision, at});
    } else if (!result.ok && result.error.kind === 'unavailable') {
      this.checkAbsent(name);
    }
  }

  /** What was told not to be accepted must not be in the table. */
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

  private check(): void {
    const now = this.cluster.clock.monotonicMilliseconds();
    for (const id of IDS) {
      const revision = this.cluster.revision(id);
      if (revision < (this.highest.get(id) ?? 0)) {
        this.violations.push(`${id} went back to ${revision}`);
      }
      this.highest.set(id, revision);
      const late = this.accepted.find(
        change =>
          change.revision > revision && now - change.at > LIMIT_SECONDS * 1_000,
      );
      if (late !== undefined && this.cluster.standing(id) === 'serving') {
        this.violations.push(`${id} serves ${revision}, not ${late.revision}`);
      }
    }
  }
}

it('no instance serves a superseded revision beyond the bound, goes back, or is lied to', async () => {
  await fastCheck.assert(
    fastCheck.asyncProperty(steps, async sequence => {
      const cluster = new ControlCluster(IDS, 7);
      await cluster.startAll();
      const run = new Run(cluster);
      for (const step of sequence) {
        await run.take(step);
      }
      await run.wait(LIMIT_SECONDS + 5);
      cluster.platform.clearFaults();
      cluster.groups.clear();
      await run.wait(15);
      const serving = IDS.every(id => cluster.standing(id) === 'serving');
      cluster.dispose();
      expect(run.violations).toEqual([]);
      expect(serving).toBe(true);
    }),
    {numRuns: 40, seed: 1},
  );
});
