import {
  Configuration,
  ConfigurationRevision,
} from '../../configuration/common/configuration.js';
import {InstanceRecord} from '../../membership/common/instanceDirectory.js';
import {MemberChange} from '../../membership/common/mergedMemberList.js';

/** Messages between control programs. Ages are in milliseconds before the message was made; clocks are never compared. */

/** Asks a peer for what it knows. */
export interface ExchangeRequest {
  /** The asking instance's own record. */
  readonly record: InstanceRecord;
  /** The revision that it holds. */
  readonly revision: number;
  /** The fingerprint of its list of members. */
  readonly members: string;
}

/** What a peer knows. */
export interface ExchangeAnswer {
  readonly record: InstanceRecord;
  /** The newest revision that it knows to exist. */
  readonly revision: number;
  /** The newest read of the head row that it knows of. */
  readonly evidence: EvidenceMessage | undefined;
  /** Names the list of instances that `statuses` follows. */
  readonly roster: string;
  /** One byte for each listed instance, base64. */
  readonly statuses: string;
  /** The fingerprint of its list of members; left out when it is the asker's. */
  readonly members?: string;
  /** Members that changed lately; left out when the fingerprints agree. */
  readonly memberChanges?: readonly MemberChange[];
  /** What follows the asker's revision; left out when there is nothing or too much. */
  readonly revisions?: readonly ConfigurationRevision[];
  /** Whether the asker is too far behind for `revisions`. */
  readonly snapshotNeeded?: boolean;
  /** Records that changed lately. */
  readonly records?: readonly AgedRecord[];
}

/** A read of the head row. */
export interface EvidenceMessage {
  readonly revision: number;
  readonly ageMilliseconds: number;
}

/** A record and how old it is. */
export interface AgedRecord {
  readonly record: InstanceRecord;
  readonly ageMilliseconds: number;
}

/** Tells a peer of a change at once. */
export interface PeerNotice {
  readonly record: InstanceRecord;
  /** The newest revision that the sender knows to exist. */
  readonly revision: number;
  /** The fingerprint of a list of members that just changed. A receiver whose list differs asks: only answers carry ages. */
  readonly members?: string;
  /** Left out when there is nothing new or it is too large. */
  readonly revisions?: readonly ConfigurationRevision[];
}

/** The answer to a notice. */
export interface PeerNoticeAnswer {
  /** The newest revision that the peer now knows to exist. */
  readonly revision: number;
}

/** The ids of a peer's list, in the order of its statuses. */
export interface RosterAnswer {
  readonly roster: string;
  readonly ids: readonly string[];
}

/** Everything that a starting instance lacks. */
export interface PeerSnapshot {
  readonly configuration: Configuration;
}
