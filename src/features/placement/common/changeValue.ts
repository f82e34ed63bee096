import {WeightManifest} from '../../../infrastructure/weights/common/weightStore.js';
import {ModelNeed} from './modelNeeds.js';
import {PlacementView} from './placementView.js';
import {ReplicaState} from './replicaState.js';

/** Predicted gain and cost of changes in sequence-seconds: sequences that can be served, times seconds. */

/** Time over which the gain of a change made for load is counted. */
const LOAD_HORIZON_SECONDS = 1_800;
/** Operators configure versions, so the gain of reaching one counts over a much longer time than that of load. */
const VERSION_HORIZON_SECONDS = 86_400;
/** Value of capacity beyond the need, relative to needed capacity. */
const SPARE_CAPACITY_VALUE = 0.05;
/** Value of using a stage that is idle because another one holds its layers too, relative to a replica's capacity. */
const IDLE_STAGE_VALUE = 0.2;
/** Least ratio of gain to cost. Above 1, because both are estimates. */
const MIN_GAIN_TO_COST = 1.5;

/** Gain and cost of a change in sequence-seconds. */
export interface ChangeValue {
  readonly gain: number;
  readonly cost: number;
}

/** Whether the gain of a change sufficiently exceeds its cost. */
export function isWorthwhile({gain, cost}: ChangeValue): boolean {
  return gain > MIN_GAIN_TO_COST * cost;
}

/** Gain of giving a replica the configured version and adapters. */
export function gainOfVersion(sequences: number): number {
  return sequences * VERSION_HORIZON_SECONDS;
}

/** Gain of splitting layers without overlap, so that no stage is idle. */
export function gainOfEvenLayers(sequences: number): number {
  return IDLE_STAGE_VALUE * sequences * LOAD_HORIZON_SECONDS;
}

/**
 * Gain of adding sequences to a model; negative for a loss. An unmet need costs the square of its uncovered share, so
 * the model with the worst coverage comes first. Each move raises the same total value, so moves can't form a cycle
 * while the needs stay the same.
 */
export function gainOfSequences(need: ModelNeed, sequences: number): number {
  const before = valueOf(need.needed, need.planned);
  const after = valueOf(need.needed, Math.max(0, need.planned + sequences));
  return (after - before) * LOAD_HORIZON_SECONDS;
}

function valueOf(needed: number, capacity: number): number {
  const uncovered = needed > 0 ? Math.max(0, 1 - capacity / needed) : 0;
  return SPARE_CAPACITY_VALUE * capacity - needed * uncovered ** 2;
}

/** Cost of a change: the capacity lost while a replica drains and loads, and the load on the weight store. */
export function costOfChange(
  state: ReplicaState,
  manifest: WeightManifest,
  view: PlacementView,
  reloads: boolean,
): number {
  const loading = reloads ? loadSeconds(manifest, view) : 0;
  if (state.kind !== 'live') {
    return loading;
  }
  return state.sequences * (drainSeconds(view) + loading) + loading;
}

/** Time to load the whole model at this data centre's share of the weight store's rate. */
function loadSeconds(manifest: WeightManifest, view: PlacementView): number {
  const bytes = manifest.layerBytes * manifest.layerCount;
  return bytes / (manifest.bytesPerSecond * Math.max(view.share, 0.001));
}

/** Expected time to drain a replica: on average, requests in progress are half-way to their deadline. */
function drainSeconds(view: PlacementView): number {
  return longestRequestMilliseconds(view) / 2 / 1000;
}

/** Time after which no request is still in progress: the longest deadline of all classes. */
export function longestRequestMilliseconds(view: PlacementView): number {
  const deadlines = Object.values(view.classes).map(
    classOfWork => classOfWork.deadlineMilliseconds,
  );
  return Math.max(0, ...deadlines);
}
