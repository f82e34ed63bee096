import {Model} from '../../configuration/common/configuration.js';
import {splitLayers} from './layerSplit.js';
import {ModelNeed} from './modelNeeds.js';
import {
  ChangeReason,
  DesiredState,
  EngineTarget,
  HeldBack,
} from './placementPlan.js';
import {Manifests, manifestKey, PlacementView} from './placementView.js';
import {
  costOfChange,
  gainOfEvenLayers,
  gainOfSequences,
  gainOfVersion,
  isWorthwhile,
  Worth,
} from './placementWorth.js';
import {ReplicaState} from './replicaState.js';

/** Finds for one replica the change that is worth most. */

/** A change that is worth making. */
export interface Candidate extends Worth {
  readonly state: ReplicaState;
  readonly model: Model;
  readonly reason: ChangeReason;
  readonly targets: readonly EngineTarget[];
}

/** What candidates are judged by. */
export interface CandidateInput {
  readonly view: PlacementView;
  readonly needs: ReadonlyMap<string, ModelNeed>;
  readonly manifests: Manifests;
  readonly now: number;
  /** Whether load was observed for long enough to move replicas for it. */
  readonly knowsLoad: boolean;
}

/** Engines that can't be reached come back often: a replica is given other layers only after so long. */
const INCOMPLETE_MILLISECONDS = 120_000;

/** The best change of a replica, or what stands against the one that is wanted. */
export function candidateFor(
  state: ReplicaState,
  input: CandidateInput,
): Candidate | HeldBack | undefined {
  const options = wantsOf(state, input).map(want => judge(state, want, input));
  const candidates = options.filter(isCandidate);
  const best = candidates.reduce<Candidate | undefined>(
    (found, one) =>
      found === undefined || netOf(one) > netOf(found) ? one : found,
    undefined,
  );
  return best ?? options.find(option => !isCandidate(option));
}

/** Whether a judgement came to a change. */
export function isCandidate(
  option: Candidate | HeldBack | undefined,
): option is Candidate {
  return option !== undefined && 'targets' in option;
}

/** Gain less cost. */
export function netOf({gain, cost}: Worth): number {
  return gain - cost;
}

/** The state that the engines of a replica have when they serve a model; undefined if they can't hold it. */
export function servingTargets(
  state: ReplicaState,
  model: Model,
): readonly EngineTarget[] | undefined {
  const reports = state.engines.flatMap(({report}) => report ?? []);
  const ranges = splitLayers(reports, model.layerCount);
  return ranges?.map((layers, index) => {
    const {name, version, adapters} = model;
    const desired: DesiredState = {
      model: name,
      version,
      adapters,
      layers,
      role: 'both',
    };
    return {member: state.engines[index]!.member, desired};
  });
}

interface Want {
  readonly model: Model;
  readonly reason: ChangeReason;
  readonly gain: number;
}

function wantsOf(state: ReplicaState, input: CandidateInput): readonly Want[] {
  const {models} = input.view;
  const own = state.model === undefined ? undefined : models[state.model];
  switch (state.kind) {
    case 'live':
      return own === undefined
        ? anyModel(state, input, 'notConfigured')
        : [...ownWants(state, own), ...moves(state, own, input)];
    case 'draining':
      return intended(state, own, input);
    case 'incomplete':
      return isGivenUp(state, input.now)
        ? anyModel(state, input, 'incomplete')
        : [];
    case 'loading':
    case 'unknown':
      return [];
  }
}

/** What the stated model itself asks of a replica that serves it. */
function ownWants(state: ReplicaState, model: Model): readonly Want[] {
  const {sequences} = state;
  if (state.version !== model.version) {
    return [{model, reason: 'version', gain: gainOfVersion(sequences)}];
  }
  if (!model.adapters.every(name => state.adapters.includes(name))) {
    return [{model, reason: 'adapters', gain: gainOfVersion(sequences)}];
  }
  return state.isEven
    ? []
    : [{model, reason: 'idleStage', gain: gainOfEvenLayers(sequences)}];
}

/** Other models that need the replica more. */
function moves(
  state: ReplicaState,
  own: Model,
  input: CandidateInput,
): readonly Want[] {
  const donor = input.needs.get(own.name);
  if (donor === undefined || !input.knowsLoad) {
    return [];
  }
  const loss = gainOfSequences(donor, -state.sequences);
  return Object.values(input.view.models)
    .filter(model => model.name !== own.name)
    .map(model => {
      const need = input.needs.get(model.name)!;
      const gain = gainOfSequences(need, state.sequences) + loss;
      return {model, reason: 'load' as const, gain};
    })
    .filter(({gain}) => gain > 0);
}

/** What an emptied replica was emptied for; without that knowledge, what its model is stated to be. */
function intended(
  state: ReplicaState,
  own: Model | undefined,
  input: CandidateInput,
): readonly Want[] {
  const {intent} = state.view;
  const model = intent ? input.view.models[intent.model] : undefined;
  if (model !== undefined && model.version === intent?.version) {
    const reason = model.name === state.model ? 'version' : 'load';
    return [{model, reason, gain: gainOfVersion(state.sequences)}];
  }
  return own === undefined
    ? anyModel(state, input, 'notConfigured')
    : ownWants(state, own);
}

function anyModel(
  state: ReplicaState,
  input: CandidateInput,
  reason: ChangeReason,
): readonly Want[] {
  return Object.values(input.view.models).map(model => {
    const need = input.needs.get(model.name)!;
    const own = model.name === state.model ? 1 : 0;
    const gain = gainOfSequences(need, state.sequences) + own;
    return {model, reason, gain};
  });
}

/** Whether engines that are out of reach have been so for long; half-done orders are mended at once. */
function isGivenUp({view, engines}: ReplicaState, now: number): boolean {
  const isWhole = engines.length === view.engines.length;
  const since = view.incompleteSince ?? now;
  return isWhole || now - since >= INCOMPLETE_MILLISECONDS;
}

function judge(
  state: ReplicaState,
  {model, reason, gain}: Want,
  input: CandidateInput,
): Candidate | HeldBack {
  const to = {model: model.name, version: model.version};
  const {group} = state.view;
  const manifest = input.manifests.get(manifestKey(to.model, to.version));
  if (manifest === undefined) {
    return {group, to, cause: 'noManifest'};
  }
  if (manifest.layerCount !== model.layerCount) {
    return {group, to, cause: 'layerCountDiffers'};
  }
  const targets = servingTargets(state, model);
  if (targets === undefined) {
    return {group, to, cause: 'enginesCannotHold'};
  }
  const reloads = reason !== 'adapters';
  const cost = costOfChange(state, manifest, input.view, reloads);
  const candidate = {state, model, reason, targets, gain, cost};
  return isWorthwhile(candidate)
    ? candidate
    : {group, to, cause: 'costsMoreThanGain'};
}
