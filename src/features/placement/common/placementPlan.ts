import {EngineOrder} from '../../../infrastructure/engine/common/engineConnection.js';
import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';
import {ModelVersion} from './placementView.js';
import {ChangeValue} from './changeValue.js';

/** Result of a placement decision. */

/** The state that an engine is ordered to reach. */
export type DesiredState = Omit<EngineOrder, 'fencing' | 'order'>;

/** An engine and its desired state. */
export interface EngineTarget {
  readonly member: UpstreamMember;
  readonly desired: DesiredState;
}

/** `drain` stops new work, `load` changes weights, adapters or layers, `restore` allows new work again. */
export type ChangeKind = 'drain' | 'load' | 'restore';

/** Reason for changing a replica. */
export type ChangeReason =
  | 'version'
  | 'adapters'
  | 'load'
  | 'incomplete'
  | 'notConfigured'
  | 'idleStage'
  | 'noLongerWanted';

/** A change of one replica. */
export interface PlacementChange extends ChangeValue {
  readonly kind: ChangeKind;
  readonly group: string;
  readonly reason: ChangeReason;
  /** What the replica holds now; undefined if its engines disagree. */
  readonly from: ModelVersion | undefined;
  readonly to: ModelVersion;
  readonly targets: readonly EngineTarget[];
}

/** A wanted change that is held back, and its cause. */
export interface HeldBack {
  readonly group: string;
  readonly to: ModelVersion;
  readonly cause:
    | 'noManifest'
    | 'layerCountDiffers'
    | 'enginesCannotHold'
    | 'tooFewLive'
    | 'othersChange'
    | 'weightStoreBusy'
    | 'costsMoreThanGain';
}

/** Changes to make now, in order, and changes held back. */
export interface PlacementPlan {
  readonly changes: readonly PlacementChange[];
  readonly heldBack: readonly HeldBack[];
}
