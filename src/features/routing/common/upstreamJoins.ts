import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';

/** Milliseconds for which an upstream that joined the list counts as new. */
const NEW_MILLISECONDS = 2000;

/**
 * Tells upstreams that joined the system from those that a process hears of for the first time, as
 * when it starts or takes over a cell.
 */
export class UpstreamJoins {
  private joinedAt: ReadonlyMap<string, number> | undefined;

  /** Takes the list; all in the first one count as there before. */
  update(members: readonly UpstreamMember[], now: number): void {
    const before = this.joinedAt;
    const first = before === undefined ? -Infinity : now;
    this.joinedAt = new Map(
      members.map(({id}) => [id, before?.get(id) ?? first]),
    );
  }

  /** Whether an upstream joined lately. */
  isNew(upstream: string, now: number): boolean {
    const joinedAt = this.joinedAt?.get(upstream) ?? now;
    return now - joinedAt < NEW_MILLISECONDS;
  }
}
