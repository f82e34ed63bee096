import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {Result, success} from '../../../base/common/result.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {
  Member,
  MembershipList,
} from '../../../infrastructure/membership/common/membershipList.js';
import {StorageError} from '../../../infrastructure/table/common/tableService.js';
import {ListReadPlan} from './listReadPlan.js';
import {MemberBook} from './memberBook.js';

/** A read that lacks more than this share of the known members is doubted. */
const DOUBT_SHARE = 0.25;
/** Fewer lost members are never doubted. */
const DOUBT_LEAST = 3;

/** What a read of the list brought. */
export interface ListReading {
  /** Whether the merged list differs. */
  readonly changed: boolean;
  /** Whether peers hardly know the change yet. */
  readonly isNews: boolean;
}

/** Reads the whole list into the book; a loss of many members at once is doubted at first. */
export class ListReader {
  private doubted: ReadonlySet<string> = new Set();

  constructor(
    private readonly list: MembershipList,
    private readonly book: MemberBook,
    private readonly plan: ListReadPlan,
    private readonly clock: Clock,
    private readonly logger: Logger,
    /** Whether an instance was heard of lately. */
    private readonly isHeard: (id: string) => boolean,
  ) {}

  /** Reads once. */
  async read(
    token: CancellationToken,
  ): Promise<Result<ListReading, StorageError>> {
    const readAt = this.clock.monotonicMilliseconds();
    const answer = await this.list.read(token);
    if (!answer.ok) {
      const {error} = answer;
      const isLimited = error.kind === 'rateLimited';
      this.plan.noteFailed(isLimited ? error.retryAfterMilliseconds : 0);
      return answer;
    }
    return success(this.take(answer.value.members, readAt));
  }

  private take(members: readonly Member[], readAt: number): ListReading {
    const isFirst = !this.book.isRead;
    this.doubted = this.doubtsOf(members);
    const now = this.clock.monotonicMilliseconds();
    const changed = this.book.takeList(members, readAt, now, this.doubted);
    const isDoubtful = this.doubted.size > 0;
    this.plan.noteRead(JSON.stringify(members).length, isDoubtful);
    return {changed, isNews: changed && !isFirst};
  }

  /**
   * Members that stay though this read lacks them. Many that vanish at once may be the platform's
   * fault: they go when the next read lacks them, too, and nobody heard of an instance among them.
   */
  private doubtsOf(members: readonly Member[]): ReadonlySet<string> {
    const missing = this.book.missingFrom(members);
    const known = this.book.size;
    if (missing.length < DOUBT_LEAST || missing.length <= known * DOUBT_SHARE) {
      return new Set();
    }
    const heard = missing.filter(id => this.isHeard(id));
    const isRefuted = heard.length > 0;
    const doubted = missing.filter(id => isRefuted || !this.doubted.has(id));
    this.logger.warn('list lost many members', {
      missing: missing.length,
      known,
      doubted: doubted.length,
      heard: heard.length,
    });
    return new Set(doubted);
  }
}
