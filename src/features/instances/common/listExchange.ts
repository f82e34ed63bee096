import {Moment, momentBefore} from '../../../base/common/moment.js';
import {UpstreamDirectory} from '../../fleet/common/upstreamDirectory.js';
import {PEER_LIST_LIMIT, UpstreamListNews} from './peerNews.js';

/**
 * Passes the platform's list of upstreams on among instances, so that one reading serves all of them. It
 * answers the load on the platform's store, whose calls are charged and limited for all instances
 * together; the list travels only when it has changed.
 */
export class ListExchange {
  constructor(private readonly directory: UpstreamDirectory) {}

  /** What this instance knows, without the list itself; undefined before it knows one. */
  get own(): UpstreamListNews | undefined {
    const {age, digest} = this.directory;
    return Number.isFinite(age) ? {digest, ageMilliseconds: age} : undefined;
  }

  /** The answer to a peer: with the list where the peer knows another, older one. */
  answerTo(asker: UpstreamListNews | undefined): UpstreamListNews | undefined {
    const {own} = this;
    const {list} = this.directory;
    const isWanted =
      own !== undefined &&
      asker?.digest !== own.digest &&
      (asker?.ageMilliseconds ?? Infinity) > own.ageMilliseconds &&
      list.length <= PEER_LIST_LIMIT;
    return isWanted ? {...own, upstreams: list} : own;
  }

  /**
   * Takes an answer. It is dated from the question: the answer was made after it, however long it took to
   * come. What peers ask is not taken, since a question may have waited for a suspended process.
   */
  take(news: UpstreamListNews | undefined, askedAt: Moment): void {
    if (news === undefined) {
      return;
    }
    const {directory} = this;
    const asOf = momentBefore(askedAt, news.ageMilliseconds);
    if (news.digest === directory.digest) {
      directory.replace(directory.list, asOf);
    } else if (news.upstreams !== undefined) {
      directory.replace(news.upstreams, asOf);
    }
  }
}
