import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {LaxityPolicy} from '../../common/laxityPolicy.js';
import {RoundRobinPolicy} from '../../common/roundRobinPolicy.js';
import {
  CellView,
  RoutingDecision,
  ShareView,
  StageView,
  WorkEstimate,
} from '../../common/routing.js';

const NOW = 10000;
const noShares: ShareView = {
  usedByAccount: new Map(),
  usedByClass: new Map(),
  demandByAccount: new Map(),
  targetRateByClass: new Map(),
};
const work: WorkEstimate = {
  requestId: 'r',
  classOfWork: 'c',
  clientAccount: 'a',
  adapter: undefined,
  promptTokens: 100,
  outputTokens: 11,
  prefixKey: undefined,
  firstTokenWithinMilliseconds: 500,
  betweenTokensTargetMilliseconds: 60,
  deadlineWithinMilliseconds: 5000,
  priority: 0,
};

function stage(
  replica: string,
  from: number,
  to: number,
  changes: Partial<StageView> = {},
): StageView {
  return {
    upstream: `${replica}.${from}`,
    address: 'http://localhost',
    dataCentre: 'd',
    replica,
    acceleratorKind: 'k',
    layers: {from, to},
    health: 'healthy',
    leaving: false,
    sequenceLimit: 2,
    expectedFinishTimes: [],
    decodeMilliseconds: 10,
    prefillMillisecondsPerToken: 1,
    linkMilliseconds: 1,
    reportAgeMilliseconds: 0,
    cachedPrefixes: new Set(),
    ...changes,
  };
}

function cellView(...stages: readonly StageView[]): CellView {
  return {cell: 'c', model: 'm', version: '1', layerCount: 8, stages};
}

/** A decision in one line: the chosen upstreams, or the reason and the retry delay. */
function describeDecision(decision: RoutingDecision): string {
  return decision.kind === 'admit'
    ? decision.stages.map(stage => stage.upstream).join('+')
    : `${decision.reason} ${Math.round(decision.retryAfterMilliseconds)}`;
}

const replicaX = (changes?: Partial<StageView>): StageView =>
  stage('x', 0, 8, changes);
const replicaY = (changes?: Partial<StageView>): StageView =>
  stage('y', 0, 8, changes);
const busyFor = (...waits: readonly number[]): Partial<StageView> => ({
  expectedFinishTimes: waits.map(wait => NOW + wait),
});
const slow = {decodeMilliseconds: 20};
const quarantined = {health: 'quarantined' as const};
const probing = {health: 'probing' as const};
const brokenReplicas = [
  ...[stage('x', 0, 4), stage('x', 4, 8, quarantined)],
  ...[stage('y', 0, 4, {leaving: true}), stage('y', 4, 8)],
];
const cached = {cachedPrefixes: new Set('p')};
const longPrompt = {promptTokens: 900, prefixKey: 'p', prefixTokens: 800};

const lostStages = {
  inProgress: true,
  firstTokenWithinMilliseconds: -9,
  betweenTokensTargetMilliseconds: 15,
};

type Case = readonly [string, CellView, Partial<WorkEstimate>, string];
const cases: readonly Case[] = [
  [
    'takes the only chain',
    cellView(stage('x', 0, 4), stage('x', 4, 8)),
    {},
    'x.0+x.4',
  ],
  ['refuses without stages', cellView(), {}, 'noUpstream 1000'],
  [
    'refuses if layers are missing',
    cellView(stage('x', 0, 4)),
    {},
    'noUpstream 1000',
  ],
  [
    'combines the healthy stages of two broken replicas',
    cellView(...brokenReplicas),
    {},
    'x.0+y.4',
  ],
  [
    'takes a replica that is split at another layer',
    cellView(replicaX(busyFor(200, 400)), stage('y', 0, 2), stage('y', 2, 8)),
    {},
    'y.0+y.2',
  ],
  [
    'takes the fast replica for a tight target',
    cellView(replicaX(slow), replicaY()),
    {betweenTokensTargetMilliseconds: 30},
    'y.0',
  ],
  [
    'takes the slow replica for a loose target',
    cellView(replicaX(slow), replicaY()),
    {betweenTokensTargetMilliseconds: 300},
    'x.0',
  ],
  [
    'refuses if the time between tokens is too long',
    cellView(replicaX(slow)),
    {betweenTokensTargetMilliseconds: 20},
    'cannotMeetTarget 5000',
  ],
  [
    'refuses if the reply is too long for the deadline',
    cellView(replicaX()),
    {outputTokens: 1000},
    'cannotMeetTarget 5000',
  ],
  [
    'admits after a wait that meets the targets',
    cellView(replicaX(busyFor(200, 400))),
    {},
    'x.0',
  ],
  [
    'refuses a wait that is too long, until 0.7 of the rest meets the targets',
    cellView(replicaX(busyFor(1000, 1900))),
    {},
    'cannotMeetTarget 466',
  ],
  [
    'waits for the finish that frees a slot, not for the mean',
    cellView(replicaX(busyFor(9, 9, 900, 900))),
    {},
    'cannotMeetTarget 366',
  ],
  [
    'prefers a cached prefix',
    cellView(replicaX(), replicaY(cached)),
    longPrompt,
    'y.0',
  ],
  [
    'admits one request to a probing stage',
    cellView(replicaX(probing)),
    {},
    'x.0',
  ],
  [
    'refuses a second request to a probing stage',
    cellView(replicaX({...probing, ...busyFor(9)})),
    {},
    'noUpstream 1000',
  ],
  [
    'refuses if the age of the load report raises the time between tokens past the target',
    cellView(replicaX({reportAgeMilliseconds: Infinity})),
    {betweenTokensTargetMilliseconds: 11.4},
    'cannotMeetTarget 5000',
  ],
  [
    'refuses if the first token would be late',
    cellView(replicaY()),
    {firstTokenWithinMilliseconds: 9},
    'cannotMeetTarget 5000',
  ],
  [
    'continues work in progress past the first-token target',
    cellView(replicaX(slow), replicaY(busyFor(1))),
    lostStages,
    'y.0',
  ],
  [
    'continues work in progress on the remaining replica',
    cellView(replicaX(slow), replicaY(quarantined)),
    lostStages,
    'x.0',
  ],
  [
    'avoids probing stages for work in progress',
    cellView(replicaX(probing), replicaY(slow)),
    lostStages,
    'y.0',
  ],
  [
    'refuses work in progress that would miss its deadline',
    cellView(replicaX(slow)),
    {...lostStages, deadlineWithinMilliseconds: 300},
    'cannotMeetTarget 5000',
  ],
  [
    'admits at the same target if the load report is new',
    cellView(replicaX()),
    {betweenTokensTargetMilliseconds: 11.4},
    'x.0',
  ],
];

describe('LaxityPolicy', () => {
  it.each(cases)('%s', (_, view, changes, expected) => {
    const decision = new LaxityPolicy().decide(
      view,
      noShares,
      {...work, ...changes},
      NOW,
    );
    expect(describeDecision(decision)).toBe(expected);
  });

  it.each(cases.filter(row => /Target (?!5000)/.test(row[3])))(
    '%s: admits the work after the retry delay',
    (_, view, changes, expected) => {
      const later = NOW + Number(expected.split(' ')[1]) + 1;
      const changedWork = {...work, ...changes};
      const decision = new LaxityPolicy().decide(
        view,
        noShares,
        changedWork,
        later,
      );
      expect(decision.kind).toBe('admit');
    },
  );

  it('scales waits up while other requests are refused', () => {
    const shares: ShareView = {
      ...noShares,
      usedByClass: new Map([['c', 800]]),
      demandByAccount: new Map([['c/b', 1000]]),
    };
    const view = cellView(replicaX(busyFor(250, 900)));
    const decide = (shares: ShareView): string =>
      describeDecision(new LaxityPolicy().decide(view, shares, work, NOW));
    expect(decide(noShares)).toBe('x.0');
    expect(decide(shares)).toBe('cannotMeetTarget 20');
  });

  const contended: ShareView = {
    usedByAccount: new Map([
      ['c/a', 900],
      ['c/b', 100],
    ]),
    usedByClass: new Map([
      ['c', 1000],
      ['tight', 1],
    ]),
    demandByAccount: new Map([
      ['c/a', 1500],
      ['c/b', 500],
    ]),
    targetRateByClass: new Map([['c', 1]]),
    timesByClass: new Map([['tight', {firstToken: 500, betweenTokens: 15}]]),
  };
  const occupied = (count: number, wait: number): Partial<StageView> => ({
    sequenceLimit: 16,
    ...busyFor(...Array<number>(count).fill(wait)),
  });
  it.each([
    [
      'admits an account over its share if more slots are free than reserved',
      'a',
      [replicaX(occupied(13, 200))],
      'x.0',
    ],
    [
      'refuses an account over its share if no more slots are free than reserved',
      'a',
      [replicaX(occupied(14, 200))],
      'overShare 200',
    ],
    [
      'admits an account over its share if other slots become free soon',
      'a',
      [replicaX(occupied(15, 140))],
      'x.0',
    ],
    [
      'refuses an account over its share if the other sequences are overdue',
      'a',
      [replicaX(occupied(15, -1))],
      'overShare 20',
    ],
    [
      'refuses an account over its share if no slot is free',
      'a',
      [replicaX(occupied(16, 140))],
      'overShare 140',
    ],
    [
      'admits an account within its share to a reserved slot',
      'b',
      [replicaX(occupied(14, 200))],
      'x.0',
    ],
    [
      'lets an account within its share wait for a slot',
      'b',
      [replicaX(occupied(16, 100))],
      'x.0',
    ],
    [
      'admits an account over its share to a replica too slow for the tighter class, which needs no reserve there',
      'a',
      [replicaX(occupied(16, 200)), replicaY({...occupied(9, 200), ...slow})],
      'y.0',
    ],
    [
      'refuses an account over its share if only slots of the replica that serves the tighter class are free',
      'a',
      [replicaX(occupied(15, 200)), replicaY({...occupied(16, 200), ...slow})],
      'overShare 200',
    ],
  ])('%s', (_, clientAccount, stages, expected) => {
    const accountWork = {...work, clientAccount};
    const policy = new LaxityPolicy();
    const decision = policy.decide(
      cellView(...stages),
      contended,
      accountWork,
      NOW,
    );
    expect(describeDecision(decision)).toBe(expected);
  });

  const stages = fc.array(
    fc.record({
      replica: fc.constantFrom('x', 'y', 'z'),
      from: fc.nat(7),
      size: fc.integer({min: 1, max: 8}),
      health: fc.constantFrom(
        'healthy' as const,
        'probing' as const,
        'quarantined' as const,
      ),
      leaving: fc.boolean(),
      finishes: fc.array(fc.nat(3000), {maxLength: 5}),
    }),
    {maxLength: 14},
  );
  const policies = [new LaxityPolicy(), new RoundRobinPolicy()];

  it.each(policies)(
    '$name chooses stages that cover all layers once, in order',
    policy => {
      fc.assert(
        fc.property(stages, drawn => {
          const view = cellView(
            ...drawn.map((drawnStage, index) =>
              stage(
                drawnStage.replica,
                drawnStage.from,
                Math.min(8, drawnStage.from + drawnStage.size),
                {
                  upstream: String(index),
                  health: drawnStage.health,
                  leaving: drawnStage.leaving,
                  expectedFinishTimes: drawnStage.finishes
                    .map(finish => NOW + finish)
                    .sort((a, b) => a - b),
                },
              ),
            ),
          );
          const decision = policy.decide(view, noShares, work, NOW);
          if (decision.kind === 'refuse') {
            expect(decision.retryAfterMilliseconds).toBeGreaterThan(0);
            return;
          }
          let covered = 0;
          for (const {layers, upstream} of decision.stages) {
            const {leaving, health} = view.stages[Number(upstream)]!;
            expect([leaving, health === 'quarantined']).toEqual([false, false]);
            expect(layers.from).toBe(covered);
            covered = layers.to;
          }
          expect(covered).toBe(8);
        }),
        {seed: 5, numRuns: 300},
      );
    },
  );
});
