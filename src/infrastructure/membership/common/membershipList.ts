import {CancellationToken} from '../../../base/common/cancellation.js';
import {Result} from '../../../base/common/result.js';
import {StorageError} from '../../table/common/tableService.js';

/** The state of a member according to the platform. */
export type MemberState = 'live' | 'leaving';

/** An instance of this system in the platform's membership list. */
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

/** An upstream in the membership list: a model engine or a plain service. */
export interface UpstreamMember {
  readonly role: 'engine' | 'service';
  readonly id: string;
  readonly dataCentre: string;
  readonly region: string;
  /** IP address and port. */
  readonly address: string;
  /** The model replica that an engine belongs to, or the name of a plain service. */
  readonly group: string;
  readonly state: MemberState;
}

/** An entry of the platform's membership list. */
export type Member = InstanceMember | UpstreamMember;

/** The membership list as returned by the platform. It lags behind the actual state of the members. */
export interface MembershipSnapshot {
  readonly members: readonly Member[];
}

/** Interface of the platform's list of live and leaving members. */
export abstract class MembershipList {
  abstract read(
    token: CancellationToken,
  ): Promise<Result<MembershipSnapshot, StorageError>>;
}
