import * as fastCheck from 'fast-check';
import {expect, it} from 'vitest';

import {EngineReport} from '../../../infrastructure/engine/common/engineConnection.js';
import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';
import {WeightManifest} from '../../../infrastructure/weights/common/weightStore.js';
import {Model} from '../../configuration/common/configuration.js';
import {partitionsLayers, splitLayers} from '../common/layerSplit.js';
import {PlacementPlan} from '../common/placementPlan.js';
import {
  Demand,
  manifestKey,
  PlacementView,
  ReplicaView,
} from '../common/placementView.js';
import {planPlacement} from '../common/planPlacement.js';
import {stateOf} from '../common/replicaState.js';

const LAYERS = 8;
const NOW = 1_000_000;

/** A replica of two engines that hold `model/version` and have a number of sequences in progress. */
function replica(
  group: string,
  holds: string,
  occupied = 0,
  overrides: Partial<EngineReport> = {},
): ReplicaView {
  const [model = '', version = ''] = holds.split('/');
  const engines = [0, 1].map(stage => {
    const member: UpstreamMember = {
      role: 'engine',
      id: `${group}-${stage}`,
      dataCentre: 'd',
      region: 'r',
      address: '127.0.0.1:1',
      group,
      state: 'live',
    };
    const report: EngineReport = {
      upstream: member.id,
      engineIncarnation: 'i',
      acceleratorKind: 'standard',
      model,
      version,
      adapters: [],
      layers: {from: stage * 4, to: stage * 4 + 4},
      role: 'both',
      checksFencing: true,
      sequenceLimit: 8,
      residentSequences: occupied,
      queuedSequences: 0,
      decodeMilliseconds: 5,
      prefillMillisecondsPerToken: 0.2,
      cachedPrefixes: [],
      ageMilliseconds: 0,
      leaving: false,
      appliedOrder: 0,
      loading: false,
      ...overrides,
    };
    return {member, report, reachable: true, pending: false};
  });
  return {group, engines};
}

function viewOf(
  replicas: readonly ReplicaView[],
  models: readonly string[],
  adapters: readonly string[] = [],
): PlacementView {
  const configured = models.map((text): Model => {
    const [name = '', version = ''] = text.split('/');
    return {name, version, layerCount: LAYERS, adapters};
  });
  const target = {firstTokenMilliseconds: 500, betweenTokensMilliseconds: 50};
  const order = {name: 'order', deadlineMilliseconds: 8_000, repeatable: false};
  return {
    dataCentre: 'd',
    share: 1,
    models: Object.fromEntries(configured.map(model => [model.name, model])),
    classes: {order: {...order, ...target, requestsPerSecond: 1}},
    replicas,
  };
}

function manifestsOf(view: PlacementView) {
  const layerBytes = 1e9;
  const entries = Object.values(view.models).map(
    ({name: model, version, layerCount}): [string, WeightManifest] => [
      manifestKey(model, version),
      {model, version, layerCount, layerBytes, bytesPerSecond: 1e9},
    ],
  );
  return new Map(entries);
}

function demandOf(
  sequences: Readonly<Record<string, number>>,
  observedMilliseconds = 600_000,
): Demand {
  return {sequences: new Map(Object.entries(sequences)), observedMilliseconds};
}

/** Formats a plan: its changes as `kind group>model/version`, then the causes of those held back. */
function summary(plan: PlacementPlan): string {
  const changes = plan.changes.map(
    ({kind, group, to}) => `${kind} ${group}>${to.model}/${to.version}`,
  );
  const causes = new Set(plan.heldBack.map(({cause}) => cause));
  return [...changes, ...causes].join(', ');
}

/**
 * Parses replicas from texts such as `a=m/1*2`: group, held version and sequences in progress. `~` marks one that has
 * drained for long enough to load, `!` one that loads.
 */
function parse(text: string): readonly ReplicaView[] {
  return text.split(' ').map(word => {
    const [group = '', state = ''] = word.replace(/[~!]/, '').split('=');
    const [holds = '', occupied = '0'] = state.split('*');
    const isEmptied = word.includes('~');
    const loading = word.includes('!');
    const role = isEmptied ? 'decode' : 'both';
    const view = replica(group, holds, Number(occupied), {role, loading});
    return isEmptied ? {...view, drainingSince: NOW - 4_000} : view;
  });
}

const [whole] = parse('a=m/1');
const [first, second] = whole!.engines;
const unreachable = {...second!, reachable: false};
const incomplete = {
  group: 'a',
  engines: [first!, unreachable],
  incompleteSince: NOW - 121_000,
};
const otherVersion = parse('a=m/2')[0]!.engines[0]!;
const partlyChanged = {group: 'a', engines: [otherVersion, second!]};

interface PlanCase {
  readonly name: string;
  readonly has: string;
  /** A further replica that `has` can't describe. */
  readonly extra?: ReplicaView;
  readonly configured: string;
  readonly plan: string;
  readonly load?: Readonly<Record<string, number>>;
  readonly observed?: number;
  readonly adapters?: readonly string[];
  readonly share?: number;
}

// prettier-ignore
const cases: readonly PlanCase[] = [
  {name: 'nothing changes when all replicas are as configured', has: 'a=m/1 b=m/1 c=m/1', configured: 'm/1', plan: ''},
  {name: 'one replica at a time changes its version', has: 'a=m/1*2 b=m/1*2 c=m/1*2', configured: 'm/2', load: {m: 6}, plan: 'drain a>m/2, othersChange'},
  {name: 'the only live replica is not drained', has: 'a=m/1', configured: 'm/2', plan: 'tooFewLive'},
  {name: 'no replica is drained when the others could not carry the load', has: 'a=m/1*5 b=m/1*5', configured: 'm/2', load: {m: 10}, plan: 'tooFewLive'},
  {name: 'a replica without a configured adapter is drained', has: 'a=m/1 b=m/1', configured: 'm/1', adapters: ['x'], plan: 'drain a>m/1, tooFewLive'},
  {name: 'a drained replica loads', has: 'a=m/1~ b=m/1*3', configured: 'm/2', load: {m: 3}, plan: 'load a>m/2, tooFewLive'},
  {name: 'a draining replica with requests does not load yet', has: 'a=m/1*1~ b=m/1*3', configured: 'm/2', load: {m: 4}, plan: 'tooFewLive'},
  {name: 'a drained replica is restored when its change is no longer wanted', has: 'a=m/1~ b=m/1', configured: 'm/1', plan: 'restore a>m/1'},
  {name: 'a change of which only some orders took effect is completed at once', has: 'b=m/2', extra: partlyChanged, configured: 'm/2', plan: 'load a>m/2'},
  {name: 'a drained replica does not load while another one loads', has: 'a=n/1! b=m/1~ c=m/2 d=n/1', configured: 'm/2 n/1', plan: 'weightStoreBusy'},
  {name: 'a model without replicas gets one', has: 'a=m/1 b=m/1 c=m/1', configured: 'm/1 n/1', load: {m: 2}, plan: 'drain a>n/1, othersChange'},
  {name: 'load that was observed only briefly moves no replica', has: 'a=m/1 b=m/1 c=m/1', configured: 'm/1 n/1', load: {m: 2}, observed: 1_000, plan: ''},
  {name: 'a loaded model gets a replica of an idle one', has: 'a=m/1 b=m/1 c=m/1 d=n/1*8', configured: 'm/1 n/1', load: {n: 8}, plan: 'drain a>n/1, othersChange'},
  {name: 'a gain smaller than the cost moves no replica', has: 'a=m/1 b=m/1 c=m/1 d=n/1*8', configured: 'm/1 n/1', load: {n: 8}, share: 1e-4, plan: 'costsMoreThanGain'},
  {name: 'a replica of a model that is no longer configured is drained for another', has: 'a=old/1 b=m/1', configured: 'm/1', plan: 'drain a>m/1'},
  {name: 'layers of an engine that is unreachable for long move to the other engines', has: 'b=m/1', extra: incomplete, configured: 'm/1', plan: 'load a>m/1'},
];

it.each(cases)('$name', testCase => {
  const replicas = [
    ...(testCase.extra ? [testCase.extra] : []),
    ...parse(testCase.has),
  ];
  const configured = viewOf(
    replicas,
    testCase.configured.split(' '),
    testCase.adapters,
  );
  const view = {...configured, share: testCase.share ?? 1};
  const demand = demandOf(testCase.load ?? {}, testCase.observed);
  const manifests = manifestsOf(view);
  const plan = planPlacement(view, demand, manifests, NOW);
  expect(summary(plan)).toBe(testCase.plan);
  expect(planPlacement(view, demand, manifests, NOW)).toEqual(plan);
  const without = planPlacement(view, demand, new Map(), NOW);
  expect(without.changes.some(({kind}) => kind === 'load')).toBe(false);
});

const speeds = fastCheck.array(
  fastCheck.double({min: 1, max: 30, noNaN: true}),
  {
    minLength: 1,
    maxLength: 5,
  },
);

it('splits layers without gap or overlap, within the growth limit of each engine', () => {
  fastCheck.assert(
    fastCheck.property(
      speeds,
      fastCheck.integer({min: 1, max: 40}),
      (decode, layerCount) => {
        const [engine] = replica('a', 'm/1').engines;
        const reports = decode.map(decodeMilliseconds => ({
          ...engine!.report!,
          decodeMilliseconds,
        }));
        const ranges = splitLayers(reports, layerCount);
        const fits =
          layerCount >= decode.length && layerCount <= decode.length * 8;
        expect(ranges !== undefined).toBe(fits);
        expect(
          ranges === undefined || partitionsLayers(ranges, layerCount),
        ).toBe(true);
        expect(ranges?.every(({from, to}) => to - from <= 8) ?? true).toBe(
          true,
        );
      },
    ),
  );
});

const holding = fastCheck.constantFrom('m/1', 'm/2', 'n/1', 'old/1');
const placementArbitrary = fastCheck.record({
  replicas: fastCheck.array(
    fastCheck.tuple(holding, fastCheck.integer({min: 0, max: 8})),
    {minLength: 1, maxLength: 12},
  ),
  configured: fastCheck.constantFrom(['m/2'], ['m/2', 'n/1'], ['n/1', 'm/1']),
});

/** Applies a plan as if all its orders took effect at once. */
function applyPlan(
  replicas: readonly ReplicaView[],
  plan: PlacementPlan,
): readonly ReplicaView[] {
  return replicas.map(view => {
    const change = plan.changes.find(planned => planned.group === view.group);
    if (change === undefined) {
      return view;
    }
    const isDrain = change.kind === 'drain';
    return {
      group: view.group,
      intendedVersion: isDrain ? change.to : undefined,
      drainingSince: isDrain ? NOW - 60_000 : undefined,
      engines: view.engines.map((engine, index) => ({
        ...engine,
        report: {
          ...engine.report!,
          ...change.targets[index]!.desired,
          residentSequences: 0,
        },
      })),
    };
  });
}

it('reaches a state without changes, and a served model never loses its last live replica', () => {
  fastCheck.assert(
    fastCheck.property(placementArbitrary, ({replicas, configured}) => {
      let views: readonly ReplicaView[] = replicas.map(
        ([holds, occupied], index) => replica(`g${index}`, holds, occupied),
      );
      const sequences: Record<string, number> = {};
      for (const [holds, occupied] of replicas) {
        const model = holds.split('/')[0]!;
        sequences[model] = (sequences[model] ?? 0) + occupied;
      }
      const served = (model: string, models: PlacementView['models']) =>
        views.some(view => {
          const state = stateOf(view, models);
          return state.kind === 'live' && state.model === model;
        });
      for (let round = 0; ; round++) {
        const view = viewOf(views, configured);
        const models = Object.keys(view.models);
        const before = models.filter(name => served(name, view.models));
        const manifests = manifestsOf(view);
        const plan = planPlacement(view, demandOf(sequences), manifests, NOW);
        if (plan.changes.length === 0) {
          return;
        }
        expect(round).toBeLessThan(4 * views.length + 4);
        const changed = plan.changes.map(({group}) => group);
        expect(new Set(changed).size).toBe(changed.length);
        views = applyPlan(views, plan);
        expect(models.filter(name => served(name, view.models))).toEqual(
          expect.arrayContaining(before),
        );
      }
    }),
    {numRuns: 400, seed: 1},
  );
});
