import {
  InstanceMember,
  Member,
  UpstreamMember,
} from '../../../infrastructure/membership/common/membershipList.js';
import {InstanceView} from './systemView.js';

/** Combines the platform's list with the records that instances publish about themselves. */

/** The state that an instance publishes about itself. */
export interface InstanceRecord {
  readonly id: string;
  /** Identifies the running process of its entry program; undefined until it announced itself. */
  readonly incarnation: string | undefined;
  readonly ready: boolean;
  readonly leaving: boolean;
}

/** A record and the time at which it was valid, in monotonic milliseconds of this instance. */
export interface TimestampedRecord {
  readonly record: InstanceRecord;
  readonly observedAt: number;
}

/** Known instances and upstreams. The number of records is bounded by the platform's list plus a fixed allowance. */
export class InstanceDirectory {
  private readonly records = new Map<string, TimestampedRecord>();
  private instanceList: readonly InstanceMember[] = [];
  private upstreamList: readonly UpstreamMember[] = [];
  private roster: readonly string[] = [];

  /** Ids of the listed instances, sorted. */
  get ids(): readonly string[] {
    return this.roster;
  }

  get members(): readonly InstanceMember[] {
    return this.instanceList;
  }

  get upstreams(): readonly UpstreamMember[] {
    return this.upstreamList;
  }

  /** Replaces the platform's list; returns which parts of it changed. */
  applyList(members: readonly Member[]): {
    readonly instancesChanged: boolean;
    readonly upstreamsChanged: boolean;
  } {
    const instances = members.filter(isInstance).sort(compareIds);
    const upstreams = members.filter(isUpstream).sort(compareIds);
    const instancesChanged = !areMemberListsEqual(instances, this.instanceList);
    const upstreamsChanged = !areMemberListsEqual(upstreams, this.upstreamList);
    if (instancesChanged) {
      this.instanceList = instances;
      this.roster = instances.map(member => member.id);
      this.removeUnlistedRecords();
    }
    if (upstreamsChanged) {
      this.upstreamList = upstreams;
    }
    return {instancesChanged, upstreamsChanged};
  }

  /**
   * Stores a record if it is newer; returns whether its content changed. Records of instances that aren't listed yet
   * are kept up to a limit.
   */
  updateRecord(record: InstanceRecord, observedAt: number): boolean {
    const known = this.records.get(record.id);
    if (known !== undefined && known.observedAt >= observedAt) {
      return false;
    }
    if (known === undefined && this.isAtCapacity(record.id)) {
      return false;
    }
    this.records.set(record.id, {record, observedAt});
    return known === undefined || !areRecordsEqual(known.record, record);
  }

  /** The records of the listed instances. */
  timestampedRecords(): readonly TimestampedRecord[] {
    return this.roster.flatMap(id => this.records.get(id) ?? []);
  }

  /** Whether the record of any listed instance is missing. */
  hasMissingRecords(): boolean {
    return this.roster.some(id => !this.records.has(id));
  }

  /** Views of the listed instances; an instance that was not seen recently is not ready. */
  views(isRecentlySeen: (id: string) => boolean): readonly InstanceView[] {
    return this.instanceList.map(member => {
      const record = this.records.get(member.id)?.record;
      const leaving = member.state === 'leaving' || record?.leaving === true;
      return {
        member: leaving ? {...member, state: 'leaving' as const} : member,
        incarnation: record?.incarnation,
        ready: !leaving && record?.ready === true && isRecentlySeen(member.id),
      };
    });
  }

  private isAtCapacity(id: string): boolean {
    const unlistedRecordLimit = 64;
    return (
      !this.roster.includes(id) &&
      this.records.size >= this.roster.length + unlistedRecordLimit
    );
  }

  private removeUnlistedRecords(): void {
    const listed = new Set(this.roster);
    for (const id of this.records.keys()) {
      if (!listed.has(id)) {
        this.records.delete(id);
      }
    }
  }
}

function isInstance(member: Member): member is InstanceMember {
  return member.role === 'instance';
}

function isUpstream(member: Member): member is UpstreamMember {
  return member.role !== 'instance';
}

function compareIds(left: Member, right: Member): number {
  return left.id < right.id ? -1 : left.id > right.id ? 1 : 0;
}

function areMemberListsEqual(
  left: readonly Member[],
  right: readonly Member[],
): boolean {
  return (
    left.length === right.length &&
    left.every(
      (member, index) =>
        member === right[index] || haveEqualFields(member, right[index]),
    )
  );
}

function haveEqualFields(left: object, right: object | undefined): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}

function areRecordsEqual(left: InstanceRecord, right: InstanceRecord): boolean {
  return (
    left.incarnation === right.incarnation &&
    left.ready === right.ready &&
    left.leaving === right.leaving
  );
}
