import {
  InstanceMember,
  UpstreamMember,
} from '../../../infrastructure/membership/common/membershipList.js';
import {Configuration} from '../../configuration/common/configuration.js';

/** What the control program knows of the system and hands to the entry program of its instance. */

/** An instance of this system as seen from here: the platform's list corrected by what peers said. */
export interface InstanceView {
  readonly member: InstanceMember;
  /** The running process of the entry program; undefined until it was heard of. */
  readonly incarnation: string | undefined;
  /** Whether callers and peers may use it. */
  readonly ready: boolean;
}

/** Whether this instance may take new work, and why not. */
export type Standing =
  | {readonly kind: 'serving'}
  /** No configuration was confirmed yet. */
  | {readonly kind: 'starting'}
  /** Neither the table nor enough peers were reached for longer than the bound. */
  | {readonly kind: 'cutOff'; readonly sinceMilliseconds: number}
  | {readonly kind: 'leaving'};

/** One immutable view; `sequence` grows with each change. */
export interface SystemView {
  readonly sequence: number;
  readonly standing: Standing;
  readonly configuration: Configuration;
  readonly instances: readonly InstanceView[];
  /** Upstreams that the list shows, live and leaving. */
  readonly upstreams: readonly UpstreamMember[];
}

/** How the entry program introduces itself to its control program. */
export interface EntryAnnouncement {
  readonly incarnation: string;
  readonly leaving: boolean;
}
