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
  ChangeValue,
} from './changeValue.js';
import {ReplicaState} from './replicaState.js';

/** Finds the change of one replica with the highest net gain. */

/** A possible change whose gain exceeds its cost. */
export interface Candidate extends ChangeValue {
  readonly state: ReplicaState;
  readonly model: Model;
  readonly reason: ChangeReason;
  readonly targets: readonly EngineTarget[];
}

/** Data that changes are evaluated with. */
export interface CandidateInput {
  readonly view: PlacementView;
  readonly needs: ReadonlyMap<string, ModelNeed>;
  readonly manifests: Manifests;
  readonly now: number;
  /** Whether load was observed for long enough to move replicas because of it. */
  readonly isLoadKnown: boolean;
}

/** Unreachable engines often come back, so layers move to the other engines of the replica only after this time. */
const INCOMPLETE_GRACE_MILLISECONDS = 120_000;

/** Gain in sequence-seconds below which the difference is only a rounding error. */
const MIN_GAIN = 1;

/** Returns the best change of a replica, else the cause that holds a wanted change back, if there is one. */
export function candidateFor(
  state: ReplicaState,
  input: CandidateInput,
): Candidate | HeldBack | undefined {
  const options = wantedChangesOf(state, input).map(wanted =>
    evaluate(state, wanted, input),
  );
  const candidates = options.filter(isCandidate);
  const bestCandidate = candidates.reduce<Candidate | undefined>(
    (best, candidate) =>
      best === undefined || netGainOf(candidate) > netGainOf(best)
        ? candidate
        : best,
    undefined,
  );
  return bestCandidate ?? options.find(option => !isCandidate(option));
}

/** Whether an evaluated change may be made. */
export function isCandidate(
  option: Candidate | HeldBack | undefined,
): option is Candidate {
  return option !== undefined && 'targets' in option;
}

/** Gain minus cost. */
export function netGainOf({gain, cost}: ChangeValue): number {
  return gain - cost;
}

/** The desired states with which a replica's engines serve a model; undefined if they can't hold it. */
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

interface WantedChange {
  readonly model: Model;
  readonly reason: ChangeReason;
  readonly gain: number;
}

function wantedChangesOf(
  state: ReplicaState,
  input: CandidateInput,
): readonly WantedChange[] {
  const {models} = input.view;
  const ownModel = state.model === undefined ? undefined : models[state.model];
  switch (state.kind) {
    case 'live':
      return ownModel === undefined
        ? changesToAnyModel(state, input, 'notConfigured')
        : [
            ...configurationChanges(state, ownModel),
            ...movesToOtherModels(state, ownModel, input),
          ];
    case 'draining':
      return intendedChange(state, ownModel, input);
    case 'incomplete':
      return isRepairDue(state, input.now)
        ? changesToAnyModel(state, input, 'incomplete')
        : [];
    case 'loading':
    case 'unknown':
      return [];
  }
}

/** Changes that bring a replica in line with the configuration of the model that it serves. */
function configurationChanges(
  state: ReplicaState,
  model: Model,
): readonly WantedChange[] {
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

/** Moves of a replica to models that need it more. */
function movesToOtherModels(
  state: ReplicaState,
  ownModel: Model,
  input: CandidateInput,
): readonly WantedChange[] {
  const donor = input.needs.get(ownModel.name);
  if (donor === undefined || !input.isLoadKnown) {
    return [];
  }
  const loss = gainOfSequences(donor, -state.sequences);
  return Object.values(input.view.models)
    .filter(model => model.name !== ownModel.name)
    .map(model => {
      const need = input.needs.get(model.name)!;
      const gain = gainOfSequences(need, state.sequences) + loss;
      return {model, reason: 'load' as const, gain};
    })
    .filter(({gain}) => gain >= MIN_GAIN);
}

/** The change that a replica was drained for; if unknown, the change to its model's configuration. */
function intendedChange(
  state: ReplicaState,
  ownModel: Model | undefined,
  input: CandidateInput,
): readonly WantedChange[] {
  const {intendedVersion} = state.view;
  const model = intendedVersion
    ? input.view.models[intendedVersion.model]
    : undefined;
  if (model !== undefined && model.version === intendedVersion?.version) {
    const reason = model.name === state.model ? 'version' : 'load';
    return [{model, reason, gain: gainOfVersion(state.sequences)}];
  }
  return ownModel === undefined
    ? changesToAnyModel(state, input, 'notConfigured')
    : configurationChanges(state, ownModel);
}

function changesToAnyModel(
  state: ReplicaState,
  input: CandidateInput,
  reason: ChangeReason,
): readonly WantedChange[] {
  return Object.values(input.view.models).map(model => {
    const need = input.needs.get(model.name)!;
    const currentBonus = model.name === state.model ? 1 : 0;
    const gain = gainOfSequences(need, state.sequences) + currentBonus;
    return {model, reason, gain};
  });
}

/** Whether to repair an incomplete replica: at once if all its engines are usable, else after a wait for the others. */
function isRepairDue({view, engines}: ReplicaState, now: number): boolean {
  const areAllUsable = engines.length === view.engines.length;
  const since = view.incompleteSince ?? now;
  return areAllUsable || now - since >= INCOMPLETE_GRACE_MILLISECONDS;
}

function evaluate(
  state: ReplicaState,
  {model, reason, gain}: WantedChange,
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
