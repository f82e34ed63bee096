import {
  InstanceMember,
  Member,
  UpstreamMember,
} from '../../../infrastructure/membership/common/membershipList.js';
import {InstanceView} from './systemView.js';

/** The platform's list corrected by what instances say of themselves. */

/** What an instance says of itself. */
export interface InstanceRecord {
  readonly id: string;
  /** The running process of its entry program; undefined until it announced itself. */
  readonly incarnation: string | undefined;
  readonly ready: boolean;
  readonly leaving: boolean;
}

/** A record and when it was true, in monotonic milliseconds of this instance. */
export interface DatedRecord {
  readonly record: InstanceRecord;
  readonly heardAt: number;
}

/** Instances and upstreams as known here; bounded by the list. */
export class InstanceDirectory {
  private readonly records = new Map<string, DatedRecord>();
  private listed: readonly InstanceMember[] = [];
  private upstreamList: readonly UpstreamMember[] = [];
  private roster: readonly string[] = [];

  /** Ids of the listed instances, sorted. */
  get ids(): readonly string[] {
    return this.roster;
  }

  get members(): readonly InstanceMember[] {
    return this.listed;
  }

  get upstreams(): readonly UpstreamMember[] {
    return this.upstreamList;
  }

  /** Takes the platform's list; returns whether anything in it changed. */
  applyList(members: readonly Member[]): {
    readonly instancesChanged: boolean;
    readonly upstreamsChanged: boolean;
  } {
    const instances = members.filter(isInstance).sort(byId);
    const upstreams = members.filter(isUpstream).sort(byId);
    const instancesChanged = !sameMembers(instances, this.listed);
    const upstreamsChanged = !sameMembers(upstreams, this.upstreamList);
    if (instancesChanged) {
      this.listed = instances;
      this.roster = instances.map(member => member.id);
      this.forgetUnlisted();
    }
    if (upstreamsChanged) {
      this.upstreamList = upstreams;
    }
    return {instancesChanged, upstreamsChanged};
  }

  /** Takes a record if it is newer; returns whether what it says differs. Records of unlisted instances wait for the list up to a limit. */
  note(record: InstanceRecord, heardAt: number): boolean {
    const known = this.records.get(record.id);
    if (known !== undefined && known.heardAt >= heardAt) {
      return false;
    }
    if (known === undefined && this.isFull(record.id)) {
      return false;
    }
    this.records.set(record.id, {record, heardAt});
    return known === undefined || !sameRecord(known.record, record);
  }

  /** All records of listed instances. */
  datedRecords(): readonly DatedRecord[] {
    return this.roster.flatMap(id => this.records.get(id) ?? []);
  }

  /** Whether some listed instance never said anything. */
  hasUnknown(): boolean {
    return this.roster.some(id => !this.records.has(id));
  }

  /** Views of the listed instances; `isHeard` tells whether one was heard of lately. */
  views(isHeard: (id: string) => boolean): readonly InstanceView[] {
    return this.listed.map(member => {
      const record = this.records.get(member.id)?.record;
      const leaving = member.state === 'leaving' || record?.leaving === true;
      return {
        member: leaving ? {...member, state: 'leaving' as const} : member,
        incarnation: record?.incarnation,
        ready: !leaving && record?.ready === true && isHeard(member.id),
      };
    });
  }

  private isFull(id: string): boolean {
    const spare = 64;
    return (
      !this.roster.includes(id) &&
      this.records.size >= this.roster.length + spare
    );
  }

  private forgetUnlisted(): void {
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

function byId(left: Member, right: Member): number {
  return left.id < right.id ? -1 : left.id > right.id ? 1 : 0;
}

function sameMembers(
  left: readonly Member[],
  right: readonly Member[],
): boolean {
  return (
    left.length === right.length &&
    left.every(
      (member, index) =>
        member === right[index] || sameFields(member, right[index]),
    )
  );
}

function sameFields(left: object, right: object | undefined): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}

function sameRecord(left: InstanceRecord, right: InstanceRecord): boolean {
  return (
    left.incarnation === right.incarnation &&
    left.ready === right.ready &&
    left.leaving === right.leaving
  );
}
