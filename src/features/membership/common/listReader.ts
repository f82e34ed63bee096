import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {Result, success} from '../../../base/common/result.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {
  Member,
  MembershipList,
} from '../../../infrastructure/membership/common/membershipList.js';
import {StorageError} from '../../../infrastructure/table/common/tableService.js';
import {ListReadScheduler} from './listReadScheduler.js';
import {MergedMemberList} from './mergedMemberList.js';

/** The removals of a read are doubted if it lacks more than this share of the known members. */
const DOUBTED_LOSS_SHARE = 0.25;
/** Removals of fewer members are never doubted. */
const MIN_DOUBTED_LOSS = 3;

/** The result of a list read. */
export interface ListReadResult {
  /** Whether the merged list changed. */
  readonly changed: boolean;
  /** Whether the change should be announced; false for the first read, which peers are likely to know. */
  readonly isNewToPeers: boolean;
}

/** Reads the whole list into the merged list; the removal of many members at once needs confirmation. */
export class ListReader {
  private doubted: ReadonlySet<string> = new Set();

  constructor(
    private readonly list: MembershipList,
    private readonly memberList: MergedMemberList,
    private readonly scheduler: ListReadScheduler,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly isRecentlySeen: (id: string) => boolean,
  ) {}

  async read(
    token: CancellationToken,
  ): Promise<Result<ListReadResult, StorageError>> {
    const readAt = this.clock.monotonicMilliseconds();
    const response = await this.list.read(token);
    if (!response.ok) {
      const {error} = response;
      const isLimited = error.kind === 'rateLimited';
      this.scheduler.recordFailure(
        isLimited ? error.retryAfterMilliseconds : 0,
      );
      return response;
    }
    return success(this.applyRead(response.value.members, readAt));
  }

  private applyRead(
    members: readonly Member[],
    readAt: number,
  ): ListReadResult {
    const isFirst = !this.memberList.hasReadList;
    this.doubted = this.findDoubtedRemovals(members);
    const now = this.clock.monotonicMilliseconds();
    const changed = this.memberList.applyList(
      members,
      readAt,
      now,
      this.doubted,
    );
    const isDoubtful = this.doubted.size > 0;
    this.scheduler.recordRead(JSON.stringify(members).length, isDoubtful);
    return {changed, isNewToPeers: changed && !isFirst};
  }

  /**
   * Returns the members to keep although this read lacks them. The disappearance of many at once may be a fault of the
   * platform: they are removed when the next read lacks them too and none of the missing instances was seen recently.
   */
  private findDoubtedRemovals(members: readonly Member[]): ReadonlySet<string> {
    const missing = this.memberList.findMissing(members);
    const known = this.memberList.size;
    if (
      missing.length < MIN_DOUBTED_LOSS ||
      missing.length <= known * DOUBTED_LOSS_SHARE
    ) {
      return new Set();
    }
    const recentlySeen = missing.filter(id => this.isRecentlySeen(id));
    const isContradicted = recentlySeen.length > 0;
    const doubted = missing.filter(
      id => isContradicted || !this.doubted.has(id),
    );
    this.logger.warn('list read lacks many known members', {
      missing: missing.length,
      known,
      doubted: doubted.length,
      heard: recentlySeen.length,
    });
    return new Set(doubted);
  }
}
