import {EngineOrder} from '../../../infrastructure/engine/common/engineConnection.js';
import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';
import {Intent} from './placementView.js';
import {Worth} from './placementWorth.js';

/** What a placement decision says. */

/** The state that an engine shall have. */
export type DesiredState = Omit<EngineOrder, 'fencing' | 'order'>;

/** An engine and the state it shall have. */
export interface EngineTarget {
  readonly member: UpstreamMember;
  readonly desired: DesiredState;
}

/** `drain`: no new work; `load`: other weights, adapters or layers; `restore`: takes work again. */
export type ChangeKind = 'drain' | 'load' | 'restore';

/** Why a replica is changed. */
export type ChangeReason =
  | 'version'
  | 'adapters'
  | 'load'
  | 'incomplete'
  | 'notConfigured'
  | 'idleStage'
  | 'noLongerWanted';

/** A change of one replica. */
export interface PlacementChange extends Worth {
  readonly kind: ChangeKind;
  readonly group: string;
  readonly reason: ChangeReason;
  /** What it holds at present; undefined if its engines disagree. */
  readonly from: Intent | undefined;
  readonly to: Intent;
  readonly targets: readonly EngineTarget[];
}

/** A change that was wanted and is held back, and why. */
export interface HeldBack {
  readonly group: string;
  readonly to: Intent;
  readonly cause:
    | 'noManifest'
    | 'layerCountDiffers'
    | 'enginesCannotHold'
    | 'tooFewLive'
    | 'othersChange'
    | 'weightStoreBusy'
    | 'costsMoreThanGain';
}

/** The decision: changes to make now, in order, and those held back. */
export interface PlacementPlan {
  readonly changes: readonly PlacementChange[];
  readonly heldBack: readonly HeldBack[];
}
