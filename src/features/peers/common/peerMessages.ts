import {
  Configuration,
  ConfigurationRevision,
} from '../../configuration/common/configuration.js';
import {InstanceRecord} from '../../membership/common/instanceDirectory.js';
import {MemberChange} from '../../membership/common/mergedMemberList.js';

/**
 * Messages between control programs. Ages are relative to the creation of the message, because clocks of different
 * instances are never compared.
 */

/** Requests the state that a peer knows. */
export interface ExchangeRequest {
  /** The requester's own record. */
  readonly record: InstanceRecord;
  /** The revision that the requester has applied. */
  readonly revision: number;
  /** The fingerprint of the requester's member list. */
  readonly members: string;
}

/** The responder's known state. */
export interface ExchangeResponse {
  readonly record: InstanceRecord;
  /** The newest revision that the responder knows to exist. */
  readonly revision: number;
  /** The newest read of the head row that the responder knows of. */
  readonly evidence: EvidenceMessage | undefined;
  /** The fingerprint of the instance ids in the order of `statuses`. */
  readonly roster: string;
  /** One byte per listed instance, as base64. */
  readonly statuses: string;
  /** The fingerprint of the responder's member list; absent if it equals the requester's. */
  readonly members?: string;
  /** Recent member changes; absent if the fingerprints are equal or there are none. */
  readonly memberChanges?: readonly MemberChange[];
  /** The revisions after the requester's; absent if there are none or they are too large. */
  readonly revisions?: readonly ConfigurationRevision[];
  /** Whether the requester is too far behind for `revisions`. */
  readonly snapshotNeeded?: boolean;
  /** Records that changed recently. */
  readonly records?: readonly AgedRecord[];
}

/** A read of the head row. */
export interface EvidenceMessage {
  readonly revision: number;
  readonly ageMilliseconds: number;
}

/** A record and its age. */
export interface AgedRecord {
  readonly record: InstanceRecord;
  readonly ageMilliseconds: number;
}

/** Notifies a peer of a change immediately. */
export interface PeerNotice {
  readonly record: InstanceRecord;
  /** The newest revision that the sender knows to exist. */
  readonly revision: number;
  /**
   * The fingerprint of a member list that just changed. A receiver with a different list starts an exchange, because
   * only responses carry ages.
   */
  readonly members?: string;
  /** New revisions; absent if there are none or they are too large. */
  readonly revisions?: readonly ConfigurationRevision[];
}

/** The response to a notice. */
export interface PeerNoticeResponse {
  /** The newest revision that the peer now knows to exist. */
  readonly revision: number;
}

/** The listed instance ids of a peer, in the order of its statuses. */
export interface RosterResponse {
  readonly roster: string;
  readonly ids: readonly string[];
}

/** The whole configuration of a peer, for an instance that is too far behind. */
export interface PeerSnapshot {
  readonly configuration: Configuration;
}
