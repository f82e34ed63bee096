import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';

/** Time for which an upstream that joined the list counts as new. */
const RECENT_JOIN_MILLISECONDS = 2000;

/**
 * Distinguishes upstreams that have just joined the system from those that are new only to this
 * process, for instance after it started or took over a cell.
 */
export class UpstreamJoinTracker {
  private joinedAt: ReadonlyMap<string, number> | undefined;

  /** Applies a list. Upstreams in the first list count as having joined earlier. */
  update(members: readonly UpstreamMember[], now: number): void {
    const previous = this.joinedAt;
    const joinTime = previous === undefined ? -Infinity : now;
    this.joinedAt = new Map(
      members.map(({id}) => [id, previous?.get(id) ?? joinTime]),
    );
  }

  /** Whether an upstream joined recently; true for unlisted ones. */
  hasJoinedRecently(upstream: string, now: number): boolean {
    const joinedAt = this.joinedAt?.get(upstream) ?? now;
    return now - joinedAt < RECENT_JOIN_MILLISECONDS;
  }
}
