import {EngineReport} from '../../../infrastructure/engine/common/engineConnection.js';
import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';
import {WeightManifest} from '../../../infrastructure/weights/common/weightStore.js';
import {ClassOfWork, Model} from '../../configuration/common/configuration.js';

/** What a placement decision is made from: one data centre's replicas, targets and observed load. */

/** One engine as the holder of the lease knows it. */
export interface EngineView {
  readonly member: UpstreamMember;
  /** The newest report; undefined before the first. */
  readonly report: EngineReport | undefined;
  readonly reachable: boolean;
  /** An order was sent after the report's figures were taken, so they don't show its effect. */
  readonly pending: boolean;
}

/** What a replica is meant to hold once it is empty. */
export interface Intent {
  readonly model: string;
  readonly version: string;
}

/** The engines that the platform's list names as one replica. */
export interface ReplicaView {
  readonly group: string;
  readonly engines: readonly EngineView[];
  /** Monotonic milliseconds since which it takes no new work, as far as known here. */
  readonly drainingSince?: number;
  /** Monotonic milliseconds since which it can't serve, as far as known here. */
  readonly incompleteSince?: number;
  readonly intent?: Intent;
  /** An engine refused an order: nothing is tried with the replica before then. */
  readonly barredUntil?: number;
}

/** One data centre as placement sees it. */
export interface PlacementView {
  readonly dataCentre: string;
  /** Share of all listed engines that stand in this data centre, from 0 to 1. */
  readonly share: number;
  readonly models: Readonly<Record<string, Model>>;
  readonly classes: Readonly<Record<string, ClassOfWork>>;
  readonly replicas: readonly ReplicaView[];
}

/** Observed load by model in one data centre. */
export interface Demand {
  /** Sequences resident or queued, smoothed over time. */
  readonly sequences: ReadonlyMap<string, number>;
  /** Milliseconds over which it was observed. */
  readonly observedMilliseconds: number;
}

/** Manifests by `manifestKey`. */
export type Manifests = ReadonlyMap<string, WeightManifest>;

/** The key of a version of a model among manifests. */
export function manifestKey(model: string, version: string): string {
  return `${model}/${version}`;
}
