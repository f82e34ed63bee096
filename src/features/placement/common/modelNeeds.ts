import {ClassOfWork} from '../../configuration/common/configuration.js';
import {Demand, PlacementView} from './placementView.js';
import {ReplicaState} from './replicaState.js';

/** How much each model needs and has in one data centre, in sequences at once. */

/** Need and supply of one model. */
export interface ModelNeed {
  readonly model: string;
  /** Sequences at once that the targets and the observed load call for. */
  readonly needed: number;
  /** Sequences that live replicas hold at once. */
  readonly capacity: number;
  /** Sequences resident or queued now. */
  readonly occupied: number;
  /** Replicas that serve now. */
  readonly live: number;
  /** Replicas that serve, are emptied or load for it. */
  readonly replicas: number;
}

/** Reply length taken to size targets; a reply's length is no target. */
const TYPICAL_OUTPUT_TOKENS = 64;
/** Observed load is met with so much room, as load below it is served without waiting. */
const HEADROOM = 1.25;

/** Works out the needs of all configured models. */
export function needsOf(
  view: PlacementView,
  states: readonly ReplicaState[],
  demand: Demand,
): ReadonlyMap<string, ModelNeed> {
  const names = Object.keys(view.models).sort();
  const targeted = targetedSequences(view);
  const needs = names.map(model => {
    const own = states.filter(state => belongsTo(state, model));
    const live = own.filter(state => state.kind === 'live');
    const observed = (demand.sequences.get(model) ?? 0) * HEADROOM;
    const share = shareOfTargets(model, names, demand);
    return {
      model,
      needed: Math.max(targeted * share, observed),
      capacity: total(live, state => state.sequences),
      occupied: total(own, state => state.occupied),
      live: live.length,
      replicas: own.length,
    };
  });
  return new Map(needs.map(need => [need.model, need]));
}

/** Whether a replica serves a model or is about to. */
export function belongsTo(state: ReplicaState, model: string): boolean {
  const {kind, view} = state;
  if (kind === 'live' || kind === 'unknown') {
    return state.model === model;
  }
  const isChanging = kind === 'draining' || kind === 'loading';
  return isChanging && (view.intent?.model ?? state.model) === model;
}

/** Sequences at once by which this data centre meets its share of the classes' targets. */
function targetedSequences(view: PlacementView): number {
  const classes = Object.values(view.classes);
  return total(classes, sequencesOfClass) * view.share;
}

/** Rate times the longest time that a request on target takes (Little's law). */
function sequencesOfClass(classOfWork: ClassOfWork): number {
  const {firstTokenMilliseconds, betweenTokensMilliseconds} = classOfWork;
  const longest =
    firstTokenMilliseconds + TYPICAL_OUTPUT_TOKENS * betweenTokensMilliseconds;
  const held = Math.min(longest, classOfWork.deadlineMilliseconds);
  return (classOfWork.requestsPerSecond * held) / 1000;
}

/** Classes name no model: their targets are divided by observed load, evenly where there is none. */
function shareOfTargets(
  model: string,
  names: readonly string[],
  demand: Demand,
): number {
  const weight = (name: string): number =>
    1 + (demand.sequences.get(name) ?? 0);
  return weight(model) / total(names, weight);
}

function total<T>(items: readonly T[], figure: (item: T) => number): number {
  return items.reduce((sum, item) => sum + figure(item), 0);
}
