import {Candidate} from './placementCandidates.js';
import {EngineTarget, PlacementChange} from './placementPlan.js';
import {ReplicaState} from './replicaState.js';

/** The desired state of a draining engine: what it holds now, without new work. */
export function drainTarget({
  member,
  report,
}: ReplicaState['engines'][number]): EngineTarget {
  const {model, version, adapters, layers} = report!;
  // In this role an engine continues the requests that it holds and takes no prompts.
  const desired = {model, version, adapters, layers, role: 'decode'} as const;
  return {member, desired};
}

/** Creates the change that implements a candidate. */
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
