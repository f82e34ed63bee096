import {CancellationToken} from '../../../base/common/cancellation.js';
import {Result} from '../../../base/common/result.js';
import {StorageError} from '../../table/common/tableService.js';

/** Whether the platform counts a member as live or as leaving. */
export type MemberState = 'live' | 'leaving';

/** An instance of this system, as the platform's list names it. */
export interface InstanceMember {
  readonly role: 'instance';
  readonly id: string;
  readonly dataCentre: string;
  readonly region: string;
  /** IP address and port for callers. */
  readonly callerAddress: string;
  /** IP address and port of the entry program for peers. */
  readonly entryPeerAddress: string;
  /** IP address and port of the control program for peers and operators. */
  readonly controlAddress: string;
  readonly state: MemberState;
}

/** A back end: a model engine or a plain service. */
export interface UpstreamMember {
  readonly role: 'engine' | 'service';
  readonly id: string;
  readonly dataCentre: string;
  readonly region: string;
  /** IP address and port. */
  readonly address: string;
  /** The replica of a model that an engine belongs to, or the name of a plain service. */
  readonly group: string;
  readonly state: MemberState;
}

/** A member of the platform's list. */
export type Member = InstanceMember | UpstreamMember;

/** The platform's list; it lags behind what it describes. */
export interface MembershipSnapshot {
  readonly members: readonly Member[];
}

/** The platform's list of live and leaving members, as a port. */
export abstract class MembershipList {
  abstract read(
    token: CancellationToken,
  ): Promise<Result<MembershipSnapshot, StorageError>>;
}
