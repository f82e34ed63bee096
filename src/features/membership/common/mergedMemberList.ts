import {hashText} from '../../../base/common/hashText.js';
import {Member} from '../../../infrastructure/membership/common/membershipList.js';

/** Merges reads of the platform's list by any instance; for each member the newest read wins. */

/** Maximum age of changes that are sent to peers with a different list; older ones are never applied. */
export const SHARING_MILLISECONDS = 600_000;
/** Bounds by how much the age of an observation is overstated after it was passed from peer to peer. */
const MAX_TIMESTAMP_ERROR_MILLISECONDS = 2_000;
const TOMBSTONE_MILLISECONDS = 2 * SHARING_MILLISECONDS;
const TOMBSTONE_LIMIT = 4_096;
const SHARED_CHANGE_LIMIT = 2_048;

/** The state of one member according to a read, as sent to a peer. */
export interface MemberChange {
  readonly id: string;
  /** Absent if the list lacked it. */
  readonly member?: Member;
  /** Time from the read to the creation of the message, rounded up. */
  readonly ageMilliseconds: number;
}

interface Observation {
  readonly member: Member | undefined;
  readonly hash: number;
  /** Monotonic milliseconds of this instance; never later than the actual read. */
  readonly observedAt: number;
  /** When this instance learned of it; undefined if it need not be sent to peers. */
  readonly changedAt: number | undefined;
}

/** The merged list. Tombstones of removed members are kept for twice as long as changes are shared. */
export class MergedMemberList {
  private readonly observations = new Map<string, Observation>();
  private lastListReadAt: number | undefined;
  private hashSum = 0;
  private presentCount = 0;

  /** Equal for equal lists, regardless of the order of members. */
  get fingerprint(): string {
    return `${this.presentCount}-${this.hashSum.toString(16)}`;
  }

  /** Whether this instance has read the whole list. */
  get hasReadList(): boolean {
    return this.lastListReadAt !== undefined;
  }

  /** Number of stored observations, tombstones included. */
  get observationCount(): number {
    return this.observations.size;
  }

  /** Number of members in the list. */
  get size(): number {
    return this.presentCount;
  }

  members(): readonly Member[] {
    return [...this.observations.values()].flatMap(({member}) => member ?? []);
  }

  /** Returns a member; undefined if it is not in the list. */
  get(id: string): Member | undefined {
    return this.observations.get(id)?.member;
  }

  /** Ids of members that the given list lacks. */
  findMissing(list: readonly Member[]): readonly string[] {
    const ids = new Set(list.map(member => member.id));
    return this.members().flatMap(({id}) => (ids.has(id) ? [] : id));
  }

  /**
   * Applies a read of the whole list that began at `readAt`; returns whether the merged list changed.
   * Members in `doubted` are kept even if the read lacks them.
   */
  applyList(
    list: readonly Member[],
    readAt: number,
    now: number,
    doubted: ReadonlySet<string>,
  ): boolean {
    const changedAt = this.hasReadList ? now : undefined;
    let changed = false;
    for (const member of list) {
      changed =
        this.applyObservation(member.id, member, readAt, changedAt) || changed;
    }
    for (const id of this.findMissing(list)) {
      const isGone = !doubted.has(id);
      changed =
        (isGone && this.applyObservation(id, undefined, readAt, changedAt)) ||
        changed;
    }
    this.lastListReadAt = Math.max(this.lastListReadAt ?? readAt, readAt);
    this.forget(now);
    return changed;
  }

  /**
   * Applies changes from a peer. Ages are subtracted from the time of the request, so that no observation looks newer
   * than it is.
   */
  applyChanges(
    changes: readonly MemberChange[],
    requestedAt: number,
    now: number,
  ): boolean {
    let changed = false;
    for (const {id, member, ageMilliseconds} of changes) {
      const observedAt = requestedAt - ageMilliseconds;
      if (ageMilliseconds <= SHARING_MILLISECONDS) {
        changed = this.applyObservation(id, member, observedAt, now) || changed;
      }
    }
    this.forget(now);
    return changed;
  }

  /** Recent changes, newest first. */
  recentChanges(now: number): readonly MemberChange[] {
    const recent = [...this.observations].filter(
      ([, {changedAt}]) =>
        changedAt !== undefined && now - changedAt <= SHARING_MILLISECONDS,
    );
    recent.sort(([, a], [, b]) => (b.changedAt ?? 0) - (a.changedAt ?? 0));
    return recent
      .slice(0, SHARED_CHANGE_LIMIT)
      .map(([id, {member, observedAt}]) => ({
        id,
        ...(member === undefined ? {} : {member}),
        ageMilliseconds: Math.ceil(now - observedAt),
      }));
  }

  private applyObservation(
    id: string,
    member: Member | undefined,
    observedAt: number,
    changedAt: number | undefined,
  ): boolean {
    const known = this.observations.get(id);
    const hash = hashOf(member, known);
    const next: Observation = {member, hash, observedAt, changedAt};
    if (known === undefined) {
      return this.addObservation(id, next);
    }
    if (!isNewer(next, known)) {
      return false;
    }
    if (hash === known.hash) {
      this.observations.set(id, {...known, observedAt});
      return false;
    }
    this.replaceObservation(id, next, known);
    return true;
  }

  /** Rejects a member that a later read of the whole list lacked. */
  private addObservation(id: string, next: Observation): boolean {
    const isPresent = next.member !== undefined;
    if (isPresent && next.observedAt <= (this.lastListReadAt ?? -Infinity)) {
      return false;
    }
    this.replaceObservation(
      id,
      isPresent ? next : {...next, changedAt: undefined},
    );
    return isPresent;
  }

  private replaceObservation(
    id: string,
    next: Observation,
    known?: Observation,
  ): void {
    const before = known?.member === undefined ? 0 : 1;
    const after = next.member === undefined ? 0 : 1;
    this.presentCount += after - before;
    this.hashSum = (this.hashSum + next.hash - (known?.hash ?? 0)) >>> 0;
    // Inserts at the end, so that the oldest tombstones are evicted first.
    this.observations.delete(id);
    this.observations.set(id, next);
  }

  private forget(now: number): void {
    let tombstones = this.observations.size - this.presentCount;
    for (const [id, {member, observedAt}] of this.observations) {
      const isOld = now - observedAt > TOMBSTONE_MILLISECONDS;
      if (member === undefined && (isOld || tombstones > TOMBSTONE_LIMIT)) {
        this.observations.delete(id);
        tombstones--;
      }
    }
  }
}

/**
 * A total order, so that instances converge regardless of the order of arrival. Leaving and removed members take
 * precedence within the timestamp error.
 */
function isNewer(next: Observation, known: Observation): boolean {
  const difference = precedenceTime(next) - precedenceTime(known);
  return difference === 0 ? next.hash > known.hash : difference > 0;
}

function precedenceTime({member, observedAt}: Observation): number {
  const removalStage =
    member === undefined ? 2 : member.state === 'leaving' ? 1 : 0;
  return observedAt + removalStage * MAX_TIMESTAMP_ERROR_MILLISECONDS;
}

/** Reuses the known hash for an equal member: most reads show no change, and comparing is cheaper than hashing. */
function hashOf(
  member: Member | undefined,
  known: Observation | undefined,
): number {
  if (member === undefined) {
    return 0;
  }
  const isKnown = known?.member && haveEqualFields(member, known.member);
  return isKnown ? known.hash : memberHash(member);
}

function haveEqualFields(left: Member, right: Member): boolean {
  const fields = Object.entries(left);
  const others: Readonly<Record<string, string>> = {...right};
  return (
    fields.length === Object.keys(others).length &&
    fields.every(([name, value]) => others[name] === value)
  );
}

/** Never returns 0, which represents absence. */
function memberHash(member: Member): number {
  const fields = Object.entries(member).map(([name, value]) => name + value);
  return hashText(fields.sort().join('\n')) || 1;
}
