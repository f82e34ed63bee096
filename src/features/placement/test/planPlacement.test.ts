import * as fastCheck from 'fast-check';
import {expect, it} from 'vitest';

import {EngineReport} from '../../../infrastructure/engine/common/engineConnection.js';
import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';
import {WeightManifest} from '../../../infrastructure/weights/common/weightStore.js';
import {Model} from '../../configuration/common/configuration.js';
import {coversOnce, splitLayers} from '../common/layerSplit.js';
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

/** A replica of engines as `model/version`, with the sequences that it works on. */
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
  const stated = models.map((text): Model => {
    const [name = '', version = ''] = text.split('/');
    return {name, version, layerCount: LAYERS, adapters};
  });
  const target = {firstTokenMilliseconds: 500, betweenTokensMilliseconds: 50};
  const order = {name: 'order', deadlineMilliseconds: 8_000, repeatable: false};
  return {
    dataCentre: 'd',
    share: 1,
    models: Object.fromEntries(stated.map(one => [one.name, one])),
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

/** What a plan says, as `kind group>model/version`, and the causes of what waits. */
function summary(plan: PlacementPlan): string {
  const changes = plan.changes.map(
    ({kind, group, to}) => `${kind} ${group}>${to.model}/${to.version}`,
  );
  const causes = new Set(plan.heldBack.map(({cause}) => cause));
  return [...changes, ...causes].join(', ');
}

/**
 * Replicas from texts such as `a=m/1*2`: group, what it holds and its sequences; `~` marks one that
 * takes no new work and was emptied for long enough, `!` one that loads.
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
const outOfReach = {...second!, reachable: false};
const lost = {
  group: 'a',
  engines: [first!, outOfReach],
  incompleteSince: NOW - 121_000,
};
const otherVersion = parse('a=m/2')[0]!.engines[0]!;
const halfDone = {group: 'a', engines: [otherVersion, second!]};

interface PlanCase {
  readonly name: string;
  readonly has: string;
  /** A replica beside those. */
  readonly and?: ReplicaView;
  readonly stated: string;
  readonly plan: string;
  readonly load?: Readonly<Record<string, number>>;
  readonly observed?: number;
  readonly adapters?: readonly string[];
  readonly share?: number;
}

// prettier-ignore
const cases: readonly PlanCase[] = [
  {name: 'all is as stated', has: 'a=m/1 b=m/1 c=m/1', stated: 'm/1', plan: ''},
  {name: 'one replica at a time changes its version', has: 'a=m/1*2 b=m/1*2 c=m/1*2', stated: 'm/2', load: {m: 6}, plan: 'drain a>m/2, othersChange'},
  {name: 'the only live replica stays', has: 'a=m/1', stated: 'm/2', plan: 'tooFewLive'},
  {name: 'the others could not carry the load', has: 'a=m/1*5 b=m/1*5', stated: 'm/2', load: {m: 10}, plan: 'tooFewLive'},
  {name: 'an adapter is missing', has: 'a=m/1 b=m/1', stated: 'm/1', adapters: ['x'], plan: 'drain a>m/1, tooFewLive'},
  {name: 'an emptied replica loads', has: 'a=m/1~ b=m/1*3', stated: 'm/2', load: {m: 3}, plan: 'load a>m/2, tooFewLive'},
  {name: 'a replica with requests is waited for', has: 'a=m/1*1~ b=m/1*3', stated: 'm/2', load: {m: 4}, plan: 'tooFewLive'},
  {name: 'a change is taken back: the replica serves again', has: 'a=m/1~ b=m/1', stated: 'm/1', plan: 'restore a>m/1'},
  {name: 'orders half done are done again at once', has: 'b=m/2', and: halfDone, stated: 'm/2', plan: 'load a>m/2'},
  {name: 'the weight store is busy with another', has: 'a=n/1! b=m/1~ c=m/2 d=n/1', stated: 'm/2 n/1', plan: 'weightStoreBusy'},
  {name: 'a model without replicas gets one', has: 'a=m/1 b=m/1 c=m/1', stated: 'm/1 n/1', load: {m: 2}, plan: 'drain a>n/1, othersChange'},
  {name: 'load that was not observed for long moves nothing', has: 'a=m/1 b=m/1 c=m/1', stated: 'm/1 n/1', load: {m: 2}, observed: 1_000, plan: ''},
  {name: 'a loaded model gets a replica of an idle one', has: 'a=m/1 b=m/1 c=m/1 d=n/1*8', stated: 'm/1 n/1', load: {n: 8}, plan: 'drain a>n/1, othersChange'},
  {name: 'a gain smaller than the cost moves nothing', has: 'a=m/1 b=m/1 c=m/1 d=n/1*8', stated: 'm/1 n/1', load: {n: 8}, share: 1e-4, plan: 'costsMoreThanGain'},
  {name: 'a model no longer stated gives its replicas up', has: 'a=old/1 b=m/1', stated: 'm/1', plan: 'drain a>m/1'},
  {name: 'engines out of reach for long leave their layers to the others', has: 'b=m/1', and: lost, stated: 'm/1', plan: 'load a>m/1'},
];

it.each(cases)('$name', one => {
  const replicas = [...(one.and ? [one.and] : []), ...parse(one.has)];
  const stated = viewOf(replicas, one.stated.split(' '), one.adapters);
  const view = {...stated, share: one.share ?? 1};
  const demand = demandOf(one.load ?? {}, one.observed);
  const manifests = manifestsOf(view);
  const plan = planPlacement(view, demand, manifests, NOW);
  expect(summary(plan)).toBe(one.plan);
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

it('splits layers without gap or overlap, in bounds of what engines held', () => {
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
        expect(ranges === undefined || coversOnce(ranges, layerCount)).toBe(
          true,
        );
        expect(ranges?.every(({from, to}) => to - from <= 8) ?? true).toBe(
          true,
        );
      },
    ),
  );
});

const holding = fastCheck.constantFrom('m/1', 'm/2', 'n/1', 'old/1');
const worldArbitrary = fastCheck.record({
  replicas: fastCheck.array(
    fastCheck.tuple(holding, fastCheck.integer({min: 0, max: 8})),
    {minLength: 1, maxLength: 12},
  ),
  stated: fastCheck.constantFrom(['m/2'], ['m/2', 'n/1'], ['n/1', 'm/1']),
});

/** Carries a plan out; orders take effect at once. */
function carryOut(
  replicas: readonly ReplicaView[],
  plan: PlacementPlan,
): readonly ReplicaView[] {
  return replicas.map(view => {
    const change = plan.changes.find(one => one.group === view.group);
    if (change === undefined) {
      return view;
    }
    const isDrain = change.kind === 'drain';
    return {
      group: view.group,
      intent: isDrain ? change.to : undefined,
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

it('comes to rest, and no model that was served is ever without a live replica', () => {
  fastCheck.assert(
    fastCheck.property(worldArbitrary, ({replicas, stated}) => {
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
        const view = viewOf(views, stated);
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
        views = carryOut(views, plan);
        expect(models.filter(name => served(name, view.models))).toEqual(
          expect.arrayContaining(before),
        );
      }
    }),
    {numRuns: 400, seed: 1},
  );
});
