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
  wantedByAccount: new Map(),
  targetByClass: new Map(),
};
const work: WorkEstimate = {
  requestId: 'r',
  classOfWork: 'c',
  clientAccount: 'a',
  adapter: undefined,
  promptTokens: 100,
  outputTokens: 11,
  prefixKey: undefined,
  firstTokenWithin: 500,
  betweenTokensTarget: 60,
  deadlineWithin: 5000,
  priority: 0,
};

function stage(
  replica: string,
  from: number,
  to: number,
  change: Partial<StageView> = {},
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
    busyUntil: [],
    decodeMilliseconds: 10,
    prefillMillisecondsPerToken: 1,
    linkMilliseconds: 1,
    reportAgeMilliseconds: 0,
    cachedPrefixes: new Set(),
    ...change,
  };
}

function cell(...stages: readonly StageView[]): CellView {
  return {cell: 'c', model: 'm', version: '1', layerCount: 8, stages};
}

/** The outcome in one line: chosen upstreams, or the reason and the time to come back. */
function outcome(decision: RoutingDecision): string {
  return decision.kind === 'admit'
    ? decision.stages.map(one => one.upstream).join('+')
    : `${decision.reason} ${Math.round(decision.retryAfterMilliseconds)}`;
}

const x = (change?: Partial<StageView>): StageView => stage('x', 0, 8, change);
const y = (change?: Partial<StageView>): StageView => stage('y', 0, 8, change);
const busy = (...waits: readonly number[]): Partial<StageView> => ({
  busyUntil: waits.map(wait => NOW + wait),
});
const slow = {decodeMilliseconds: 20};
const out = {health: 'quarantined' as const};
const probing = {health: 'probing' as const};
const halves = [
  ...[stage('x', 0, 4), stage('x', 4, 8, out)],
  ...[stage('y', 0, 4, {leaving: true}), stage('y', 4, 8)],
];
const cached = {cachedPrefixes: new Set('p')};
const longPrompt = {promptTokens: 900, prefixKey: 'p', prefixTokens: 800};

const lost = {inProgress: true, firstTokenWithin: -9, betweenTokensTarget: 15};

type Case = readonly [string, CellView, Partial<WorkEstimate>, string];
const cases: readonly Case[] = [
  ['one chain', cell(stage('x', 0, 4), stage('x', 4, 8)), {}, 'x.0+x.4'],
  ['no stages', cell(), {}, 'noUpstream 1000'],
  ['a gap in the layers', cell(stage('x', 0, 4)), {}, 'noUpstream 1000'],
  ['halves of two broken replicas', cell(...halves), {}, 'x.0+y.4'],
  [
    'replicas cut at different layers',
    cell(x(busy(200, 400)), stage('y', 0, 2), stage('y', 2, 8)),
    {},
    'y.0+y.2',
  ],
  ['a tight target', cell(x(slow), y()), {betweenTokensTarget: 30}, 'y.0'],
  ['a loose target', cell(x(slow), y()), {betweenTokensTarget: 300}, 'x.0'],
  [
    'too slow',
    cell(x(slow)),
    {betweenTokensTarget: 20},
    'cannotMeetTarget 5000',
  ],
  ['too long', cell(x()), {outputTokens: 1000}, 'cannotMeetTarget 5000'],
  ['a wait that fits', cell(x(busy(200, 400))), {}, 'x.0'],
  [
    'a wait that is too long: when 0.7 of what is left of it fits',
    cell(x(busy(1000, 1900))),
    {},
    'cannotMeetTarget 466',
  ],
  [
    'the place in the queue counts, not the mean',
    cell(x(busy(9, 9, 900, 900))),
    {},
    'cannotMeetTarget 366',
  ],
  ['a cached prefix', cell(x(), y(cached)), longPrompt, 'y.0'],
  ['probing takes one request', cell(x(probing)), {}, 'x.0'],
  ['and no second', cell(x({...probing, ...busy(9)})), {}, 'noUpstream 1000'],
  [
    'old figures are widened past the target',
    cell(x({reportAgeMilliseconds: Infinity})),
    {betweenTokensTarget: 11.4},
    'cannotMeetTarget 5000',
  ],
  [
    'no first token in time',
    cell(y()),
    {firstTokenWithin: 9},
    'cannotMeetTarget 5000',
  ],
  ['work in progress goes on', cell(x(slow), y(busy(1))), lost, 'y.0'],
  ['on what is left', cell(x(slow), y(out)), lost, 'x.0'],
  ['on a probe only if need be', cell(x(probing), y(slow)), lost, 'y.0'],
  [
    'but not past its deadline',
    cell(x(slow)),
    {...lost, deadlineWithin: 300},
    'cannotMeetTarget 5000',
  ],
  ['new ones are not', cell(x()), {betweenTokensTarget: 11.4}, 'x.0'],
];

describe('LaxityPolicy', () => {
  it.each(cases)('%s', (_, view, change, expected) => {
    const decision = new LaxityPolicy().decide(
      view,
      noShares,
      {...work, ...change},
      NOW,
    );
    expect(outcome(decision)).toBe(expected);
  });

  it.each(cases.filter(one => /Target (?!5000)/.test(one[3])))(
    '%s: taken at the time to come back',
    (_, view, change, expected) => {
      const later = NOW + Number(expected.split(' ')[1]) + 1;
      const sent = {...work, ...change};
      const decision = new LaxityPolicy().decide(view, noShares, sent, later);
      expect(decision.kind).toBe('admit');
    },
  );

  it('stretches waits where others are turned away', () => {
    const shares: ShareView = {
      ...noShares,
      usedByClass: new Map([['c', 800]]),
      wantedByAccount: new Map([['c/b', 1000]]),
    };
    const view = cell(x(busy(250, 900)));
    const decide = (shares: ShareView): string =>
      outcome(new LaxityPolicy().decide(view, shares, work, NOW));
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
    wantedByAccount: new Map([
      ['c/a', 1500],
      ['c/b', 500],
    ]),
    targetByClass: new Map([['c', 1]]),
    timesByClass: new Map([['tight', {firstToken: 500, betweenTokens: 15}]]),
  };
  const held = (count: number, wait: number): Partial<StageView> => ({
    sequenceLimit: 16,
    ...busy(...Array<number>(count).fill(wait)),
  });
  it.each([
    ['more free than kept', 'a', [x(held(13, 200))], 'x.0'],
    ['no more free than kept', 'a', [x(held(14, 200))], 'overShare 200'],
    ['others soon free need not be kept', 'a', [x(held(15, 140))], 'x.0'],
    ['overdue ones are not sure', 'a', [x(held(15, -1))], 'overShare 20'],
    ['none free', 'a', [x(held(16, 140))], 'overShare 140'],
    ['within its share', 'b', [x(held(14, 200))], 'x.0'],
    ['within its share, all taken', 'b', [x(held(16, 100))], 'x.0'],
    [
      'too slow for a tighter class, so nothing is kept for it elsewhere',
      'a',
      [x(held(16, 200)), y({...held(9, 200), ...slow})],
      'y.0',
    ],
    [
      'its own slots only are free, and the others count not',
      'a',
      [x(held(15, 200)), y({...held(16, 200), ...slow})],
      'overShare 200',
    ],
  ])('an account over its share: %s', (_, clientAccount, stages, expected) => {
    const asked = {...work, clientAccount};
    const policy = new LaxityPolicy();
    const decision = policy.decide(cell(...stages), contended, asked, NOW);
    expect(outcome(decision)).toBe(expected);
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

  it.each(policies)('$name covers all layers once, in order', policy => {
    fc.assert(
      fc.property(stages, drawn => {
        const view = cell(
          ...drawn.map((one, index) =>
            stage(one.replica, one.from, Math.min(8, one.from + one.size), {
              upstream: String(index),
              health: one.health,
              leaving: one.leaving,
              busyUntil: one.finishes
                .map(finish => NOW + finish)
                .sort((a, b) => a - b),
            }),
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
  });
});
