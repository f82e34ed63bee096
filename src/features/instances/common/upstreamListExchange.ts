import {Moment, momentBefore} from '../../../base/common/moment.js';
import {UpstreamDirectory} from '../../fleet/common/upstreamDirectory.js';
import {MESSAGE_LIST_LIMIT, UpstreamListState} from './gossipMessage.js';

/**
 * Shares the platform's list of upstreams among instances, so that one read serves all of them. This reduces
 * the load on the platform's store, whose calls are charged and limited for all instances together. The list
 * itself is only sent when it has changed.
 */
export class UpstreamListExchange {
  constructor(private readonly directory: UpstreamDirectory) {}

  /** Digest and age of this instance's list, without the entries; undefined before the first read. */
  get own(): UpstreamListState | undefined {
    const {age, digest} = this.directory;
    return Number.isFinite(age) ? {digest, ageMilliseconds: age} : undefined;
  }

  /** Creates the response to a peer; it includes the entries if the peer's list is a different, older one. */
  createResponse(
    peerList: UpstreamListState | undefined,
  ): UpstreamListState | undefined {
    const {own} = this;
    const {list} = this.directory;
    const isNeeded =
      own !== undefined &&
      peerList?.digest !== own.digest &&
      (peerList?.ageMilliseconds ?? Infinity) > own.ageMilliseconds &&
      list.length <= MESSAGE_LIST_LIMIT;
    return isNeeded ? {...own, upstreams: list} : own;
  }

  /**
   * Applies a response. Its age counts from the time of the request: the response was created later, however
   * long it took to arrive. Lists in requests are not applied, since a request may have been delayed by the
   * suspension of a process.
   */
  applyResponse(
    response: UpstreamListState | undefined,
    requestedAt: Moment,
  ): void {
    if (response === undefined) {
      return;
    }
    const {directory} = this;
    const asOf = momentBefore(requestedAt, response.ageMilliseconds);
    if (response.digest === directory.digest) {
      directory.replace(directory.list, asOf);
    } else if (response.upstreams !== undefined) {
      directory.replace(response.upstreams, asOf);
    }
  }
}
