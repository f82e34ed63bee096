import {ClassOfWork} from '../../configuration/common/configuration.js';
import {Demand, PlacementView} from './placementView.js';
import {ReplicaState} from './replicaState.js';

/** Needed and available capacity of each model in one data centre, in concurrent sequences. */

/** Needed and available capacity of one model. */
export interface ModelNeed {
  readonly model: string;
  /** Concurrent sequences that the targets and the observed load require. */
  readonly needed: number;
  /** Concurrent sequences that live replicas can hold. */
  readonly capacity: number;
  /** Capacity once the changes in progress have ended. */
  readonly planned: number;
  /** Sequences resident or queued now. */
  readonly occupied: number;
  /** Replicas that serve the model now. */
  readonly live: number;
  /** Replicas that serve the model, or drain or load for it. */
  readonly replicas: number;
}

/** Assumed reply length for sizing, because targets don't state one. */
const TYPICAL_OUTPUT_TOKENS = 64;
/** Ratio of needed capacity to observed load, so that requests don't queue at the observed load. */
const LOAD_HEADROOM = 1.25;

/** Computes the needs of all configured models. */
export function computeNeeds(
  view: PlacementView,
  states: readonly ReplicaState[],
  demand: Demand,
): ReadonlyMap<string, ModelNeed> {
  const names = Object.keys(view.models).sort();
  const targeted = targetedSequences(view);
  const needs = names.map(model => {
    const modelReplicas = states.filter(state => countsForModel(state, model));
    const live = modelReplicas.filter(state => state.kind === 'live');
    const observed = (demand.sequences.get(model) ?? 0) * LOAD_HEADROOM;
    const share = shareOfTargets(model, names, demand);
    return {
      model,
      needed: Math.max(targeted * share, observed),
      capacity: sumOf(live, state => state.sequences),
      planned: sumOf(modelReplicas, state => state.sequences),
      occupied: sumOf(modelReplicas, state => state.occupied),
      live: live.length,
      replicas: modelReplicas.length,
    };
  });
  return new Map(needs.map(need => [need.model, need]));
}

/** Whether a replica counts for a model: it serves the model or is being changed to do so. */
export function countsForModel(state: ReplicaState, model: string): boolean {
  const {kind, view} = state;
  if (kind === 'live' || kind === 'unknown') {
    return state.model === model;
  }
  const isChanging = kind === 'draining' || kind === 'loading';
  return isChanging && (view.intendedVersion?.model ?? state.model) === model;
}

/** Concurrent sequences that this data centre's share of the classes' targets requires. */
function targetedSequences(view: PlacementView): number {
  const classes = Object.values(view.classes);
  return sumOf(classes, sequencesOfClass) * view.share;
}

/** Request rate times the longest time of a request within its targets (Little's law). */
function sequencesOfClass(classOfWork: ClassOfWork): number {
  const {firstTokenMilliseconds, betweenTokensMilliseconds} = classOfWork;
  const longestMilliseconds =
    firstTokenMilliseconds + TYPICAL_OUTPUT_TOKENS * betweenTokensMilliseconds;
  const heldMilliseconds = Math.min(
    longestMilliseconds,
    classOfWork.deadlineMilliseconds,
  );
  return (classOfWork.requestsPerSecond * heldMilliseconds) / 1000;
}

/** A model's share of the targets. Classes name no model, so observed load divides targets, evenly if there is none. */
function shareOfTargets(
  model: string,
  names: readonly string[],
  demand: Demand,
): number {
  const weight = (name: string): number =>
    1 + (demand.sequences.get(name) ?? 0);
  return weight(model) / sumOf(names, weight);
}

function sumOf<T>(items: readonly T[], valueOf: (item: T) => number): number {
  return items.reduce((sum, item) => sum + valueOf(item), 0);
}
