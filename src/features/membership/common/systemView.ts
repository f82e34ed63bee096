import {
  InstanceMember,
  UpstreamMember,
} from '../../../infrastructure/membership/common/membershipList.js';
import {Configuration} from '../../configuration/common/configuration.js';

/** The view of the system that the control program provides to the entry program of its instance. */

/** An instance as known to this one: its entry in the platform's list, updated by records from peers. */
export interface InstanceView {
  readonly member: InstanceMember;
  /** Identifies the running process of the entry program; undefined until it is known. */
  readonly incarnation: string | undefined;
  /** Whether callers and peers may send it requests. */
  readonly ready: boolean;
}

/** Whether this instance accepts new work, and otherwise why not. */
export type Standing =
  | {readonly kind: 'serving'}
  /** No configuration has been confirmed yet. */
  | {readonly kind: 'starting'}
  /** The configuration was confirmed neither by the table nor by a majority within the bound. */
  | {readonly kind: 'cutOff'; readonly sinceMilliseconds: number}
  | {readonly kind: 'leaving'};

/** An immutable view; `sequence` increases with each change. */
export interface SystemView {
  readonly sequence: number;
  readonly standing: Standing;
  readonly configuration: Configuration;
  readonly instances: readonly InstanceView[];
  /** The upstreams in the platform's list, live and leaving. */
  readonly upstreams: readonly UpstreamMember[];
}

/** Identifies the entry process to its control program and tells whether it is leaving. */
export interface EntryAnnouncement {
  readonly incarnation: string;
  readonly leaving: boolean;
}
