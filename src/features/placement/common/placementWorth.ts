import {WeightManifest} from '../../../infrastructure/weights/common/weightStore.js';
import {ModelNeed} from './modelNeeds.js';
import {PlacementView} from './placementView.js';
import {ReplicaState} from './replicaState.js';

/** Predicted gain and cost of changes, in sequence-seconds: sequences that can be served, times seconds. */

/** Seconds for which a change made for load counts. */
const LOAD_HORIZON_SECONDS = 1_800;
/** A version is what operators state; it counts for much longer than load does. */
const VERSION_HORIZON_SECONDS = 86_400;
/** Worth of capacity that no target or load calls for, as a share of capacity that is called for. */
const SPARE_WORTH = 0.05;
/** Worth of a stage that stands idle because another holds its layers too. */
const IDLE_STAGE_WORTH = 0.2;
/** A change is made only for so many times its cost, as both are estimates. */
const MARGIN = 1.5;

/** Gain and cost of a change. */
export interface Worth {
  readonly gain: number;
  readonly cost: number;
}

/** Whether a change is worth making. */
export function isWorthwhile({gain, cost}: Worth): boolean {
  return gain > MARGIN * cost;
}

/** Gain of bringing a replica to the stated version and adapters. */
export function gainOfVersion(sequences: number): number {
  return sequences * VERSION_HORIZON_SECONDS;
}

/** Gain of using a stage that stands idle. */
export function gainOfEvenLayers(sequences: number): number {
  return IDLE_STAGE_WORTH * sequences * LOAD_HORIZON_SECONDS;
}

/**
 * Gain of giving a model more sequences, or loss if negative. Worth grows with the square of the
 * uncovered share of the need, so the model that is covered worst comes first; and as every move
 * raises the same sum, moves can't go round in a circle while the needs stay.
 */
export function gainOfSequences(need: ModelNeed, sequences: number): number {
  const before = worthOf(need.needed, need.planned);
  const after = worthOf(need.needed, Math.max(0, need.planned + sequences));
  return (after - before) * LOAD_HORIZON_SECONDS;
}

function worthOf(needed: number, capacity: number): number {
  const uncovered = needed > 0 ? Math.max(0, 1 - capacity / needed) : 0;
  return SPARE_WORTH * capacity - needed * uncovered ** 2;
}

/** Cost of a change: the capacity lost while a replica is emptied and loads, and the loading itself. */
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

/** Seconds for the whole model at this data centre's share of the weight store's rate. */
function loadSeconds(manifest: WeightManifest, view: PlacementView): number {
  const bytes = manifest.layerBytes * manifest.layerCount;
  return bytes / (manifest.bytesPerSecond * Math.max(view.share, 0.001));
}

/** Requests in progress are about half-way to their deadline. */
function drainSeconds(view: PlacementView): number {
  return longestRequestMilliseconds(view) / 2 / 1000;
}

/** Milliseconds after which no request that was taken before is still in progress. */
export function longestRequestMilliseconds(view: PlacementView): number {
  const deadlines = Object.values(view.classes).map(
    one => one.deadlineMilliseconds,
  );
  return Math.max(0, ...deadlines);
}
