import {EngineReport} from '../../../infrastructure/engine/common/engineConnection.js';
import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';
import {WeightManifest} from '../../../infrastructure/weights/common/weightStore.js';
import {ClassOfWork, Model} from '../../configuration/common/configuration.js';

/** Input of a placement decision: the replicas, targets and observed load of one data centre. */

/** An engine as the holder of the lease sees it. */
export interface EngineView {
  readonly member: UpstreamMember;
  /** The newest report; undefined before the first. */
  readonly report: EngineReport | undefined;
  readonly reachable: boolean;
  /** Whether an order was sent after the report was made, so that the report doesn't show its effect. */
  readonly pending: boolean;
}

/** A version of a model. */
export interface ModelVersion {
  readonly model: string;
  readonly version: string;
}

/** The engines that the platform lists as one replica. */
export interface ReplicaView {
  readonly group: string;
  readonly engines: readonly EngineView[];
  /** Monotonic milliseconds since which this process has seen the replica take no new work. */
  readonly drainingSince?: number;
  /** Monotonic milliseconds since which this process has seen the replica hold no whole model. */
  readonly incompleteSince?: number;
  /** What the replica shall hold once it is drained. */
  readonly intendedVersion?: ModelVersion;
  /** Monotonic milliseconds before which the replica isn't changed again, after an order failed or was refused. */
  readonly backoffUntil?: number;
}

/** The state of one data centre that placement plans from. */
export interface PlacementView {
  readonly dataCentre: string;
  /** Share of all listed engines that belong to this data centre's replicas, from 0 to 1. */
  readonly share: number;
  readonly models: Readonly<Record<string, Model>>;
  readonly classes: Readonly<Record<string, ClassOfWork>>;
  readonly replicas: readonly ReplicaView[];
}

/** Observed load of one data centre by model. */
export interface Demand {
  /** Sequences resident or queued, smoothed over time. */
  readonly sequences: ReadonlyMap<string, number>;
  /** Time since the observation began. */
  readonly observedMilliseconds: number;
}

/** Weight manifests by `manifestKey`. */
export type Manifests = ReadonlyMap<string, WeightManifest>;

/** Key of a model version in `Manifests`. */
export function manifestKey(model: string, version: string): string {
  return `${model}/${version}`;
}
