import {textHash} from '../../../base/common/textHash.js';
import {Member} from '../../../infrastructure/membership/common/membershipList.js';

/** What reads of the platform's list by any instance showed of each member, the newest read deciding. */

/** Changes younger than this go to peers whose lists differ; older ones are never taken. */
export const CARRY_MILLISECONDS = 600_000;
/** How much too old an observation may look after it went from peer to peer. */
const DATING_ERROR_MILLISECONDS = 2_000;
const TOMBSTONE_MILLISECONDS = 2 * CARRY_MILLISECONDS;
const TOMBSTONE_LIMIT = 4_096;
const CARRY_LIMIT = 2_048;

/** What a read showed of one member, as told to a peer. */
export interface MemberChange {
  readonly id: string;
  /** Left out when the list didn't show it. */
  readonly member?: Member;
  /** Milliseconds before the message was made; rounded up. */
  readonly ageMilliseconds: number;
}

interface Observation {
  readonly member: Member | undefined;
  readonly hash: number;
  /** Monotonic milliseconds of this instance; not later than the read. */
  readonly observedAt: number;
  /** When this instance learned of it; undefined when it needs no telling. */
  readonly changedAt: number | undefined;
}

/** The merged list; removed members are remembered for twice as long as changes are told. */
export class MemberBook {
  private readonly observations = new Map<string, Observation>();
  private listedAt: number | undefined;
  private hashSum = 0;
  private present = 0;

  /** Equal for equal lists, whatever the order of members. */
  get fingerprint(): string {
    return `${this.present}-${this.hashSum.toString(16)}`;
  }

  /** Whether the whole list was ever read here. */
  get isRead(): boolean {
    return this.listedAt !== undefined;
  }

  /** Members known, removed ones included. */
  get remembered(): number {
    return this.observations.size;
  }

  /** Members in the list. */
  get size(): number {
    return this.present;
  }

  /** All members in the list. */
  members(): readonly Member[] {
    return [...this.observations.values()].flatMap(({member}) => member ?? []);
  }

  /** A member, if it is in the list. */
  get(id: string): Member | undefined {
    return this.observations.get(id)?.member;
  }

  /** Ids of members that a list lacks. */
  missingFrom(list: readonly Member[]): readonly string[] {
    const ids = new Set(list.map(member => member.id));
    return this.members().flatMap(({id}) => (ids.has(id) ? [] : id));
  }

  /**
   * Takes a read of the whole list that began at `readAt`; returns whether the merged list differs.
   * Members whose absence is doubted stay.
   */
  takeList(
    list: readonly Member[],
    readAt: number,
    now: number,
    doubted: ReadonlySet<string>,
  ): boolean {
    const changedAt = this.isRead ? now : undefined;
    let changed = false;
    for (const member of list) {
      changed = this.take(member.id, member, readAt, changedAt) || changed;
    }
    for (const id of this.missingFrom(list)) {
      const isGone = !doubted.has(id);
      changed =
        (isGone && this.take(id, undefined, readAt, changedAt)) || changed;
    }
    this.listedAt = Math.max(this.listedAt ?? readAt, readAt);
    this.forget(now);
    return changed;
  }

  /** Takes what a peer told; `askedAt` is when it was asked, which dates it safely. */
  takeChanges(
    changes: readonly MemberChange[],
    askedAt: number,
    now: number,
  ): boolean {
    let changed = false;
    for (const {id, member, ageMilliseconds} of changes) {
      const observedAt = askedAt - ageMilliseconds;
      if (ageMilliseconds <= CARRY_MILLISECONDS) {
        changed = this.take(id, member, observedAt, now) || changed;
      }
    }
    this.forget(now);
    return changed;
  }

  /** What changed lately, the newest first. */
  recentChanges(now: number): readonly MemberChange[] {
    const recent = [...this.observations].filter(
      ([, {changedAt}]) =>
        changedAt !== undefined && now - changedAt <= CARRY_MILLISECONDS,
    );
    recent.sort(([, a], [, b]) => (b.changedAt ?? 0) - (a.changedAt ?? 0));
    return recent.slice(0, CARRY_LIMIT).map(([id, {member, observedAt}]) => ({
      id,
      ...(member === undefined ? {} : {member}),
      ageMilliseconds: Math.ceil(now - observedAt),
    }));
  }

  private take(
    id: string,
    member: Member | undefined,
    observedAt: number,
    changedAt: number | undefined,
  ): boolean {
    const known = this.observations.get(id);
    const hash = hashOf(member, known);
    const next: Observation = {member, hash, observedAt, changedAt};
    if (known === undefined) {
      return this.takeUnknown(id, next);
    }
    if (!isNewer(next, known)) {
      return false;
    }
    if (hash === known.hash) {
      this.observations.set(id, {...known, observedAt});
      return false;
    }
    this.store(id, next, known);
    return true;
  }

  /** A member that a newer whole read lacked is not taken back. */
  private takeUnknown(id: string, next: Observation): boolean {
    const isPresent = next.member !== undefined;
    if (isPresent && next.observedAt <= (this.listedAt ?? -Infinity)) {
      return false;
    }
    this.store(id, isPresent ? next : {...next, changedAt: undefined});
    return isPresent;
  }

  private store(id: string, next: Observation, known?: Observation): void {
    const before = known?.member === undefined ? 0 : 1;
    const after = next.member === undefined ? 0 : 1;
    this.present += after - before;
    this.hashSum = (this.hashSum + next.hash - (known?.hash ?? 0)) >>> 0;
    // Behind the others, so that the oldest removals come first.
    this.observations.delete(id);
    this.observations.set(id, next);
  }

  private forget(now: number): void {
    let tombstones = this.observations.size - this.present;
    for (const [id, {member, observedAt}] of this.observations) {
      const isOld = now - observedAt > TOMBSTONE_MILLISECONDS;
      if (member === undefined && (isOld || tombstones > TOMBSTONE_LIMIT)) {
        this.observations.delete(id);
        tombstones--;
      }
    }
  }
}

/** A total order, so that instances agree in whatever order they hear; what is on its way out counts as somewhat newer. */
function isNewer(next: Observation, known: Observation): boolean {
  const difference = weightedTime(next) - weightedTime(known);
  return difference === 0 ? next.hash > known.hash : difference > 0;
}

function weightedTime({member, observedAt}: Observation): number {
  const stepsOut =
    member === undefined ? 2 : member.state === 'leaving' ? 1 : 0;
  return observedAt + stepsOut * DATING_ERROR_MILLISECONDS;
}

/** Most reads show what is known, and comparing is cheaper than hashing. */
function hashOf(
  member: Member | undefined,
  known: Observation | undefined,
): number {
  if (member === undefined) {
    return 0;
  }
  const isKnown = known?.member && sameFields(member, known.member);
  return isKnown ? known.hash : memberHash(member);
}

function sameFields(left: Member, right: Member): boolean {
  const fields = Object.entries(left);
  const others: Readonly<Record<string, string>> = {...right};
  return (
    fields.length === Object.keys(others).length &&
    fields.every(([name, value]) => others[name] === value)
  );
}

/** Never 0, which stands for absence. */
function memberHash(member: Member): number {
  const fields = Object.entries(member).map(([name, value]) => name + value);
  return textHash(fields.sort().join('\n')) || 1;
}
