import {Candidate} from './placementCandidates.js';
import {EngineTarget, PlacementChange} from './placementPlan.js';
import {ReplicaState} from './replicaState.js';

/** What an engine goes on holding while it takes no new work. */
export function drainTarget({
  member,
  report,
}: ReplicaState['engines'][number]): EngineTarget {
  const {model, version, adapters, layers} = report!;
  // An engine of this role goes on with requests that it holds and takes no prompts.
  const desired = {model, version, adapters, layers, role: 'decode'} as const;
  return {member, desired};
}

/** The change that carries a candidate out. */
export function toChange(
  kind: PlacementChange['kind'],
  candidate: Candidate,
  targets: readonly EngineTarget[],
): PlacementChange {
  const {state, model, reason, gain, cost} = candidate;
  const {model: from, version} = state;
  return {
    kind,
    group: state.view.group,
    reason,
    from:
      from === undefined || version === undefined
        ? undefined
        : {model: from, version},
    to: {model: model.name, version: model.version},
    targets,
    gain,
    cost,
  };
}
