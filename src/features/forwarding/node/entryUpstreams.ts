import {PathSearchResult} from '../../paths/common/pathSearch.js';
import {ForwardingServices} from './forwardingServices.js';
import {PathChooser} from './pathChooser.js';

/**
 * Limits the entry upstreams to which one request is sent to the number that its route allows. Upstreams
 * that have ended do not count, but only once that is certain, since a suspicion may be wrong.
 */
export class EntryUpstreams {
  private readonly sentTo = new Set<string>();

  constructor(
    private readonly services: ForwardingServices,
    private readonly limit: number,
  ) {}

  add(upstream: string): void {
    this.sentTo.add(upstream);
  }

  /**
   * Finds a path over all layers. Once the limit is reached, the path must start at an upstream that was
   * used before.
   */
  choosePath(pathChooser: PathChooser): PathSearchResult {
    if (this.liveCount < this.limit) {
      return pathChooser.whole(() => true);
    }
    return pathChooser.whole(
      ({id, layers}) => this.sentTo.has(id) || (layers?.from ?? 0) > 0,
    );
  }

  private get liveCount(): number {
    const {directory, suspicions} = this.services;
    return [...this.sentTo].filter(
      id => directory.find(id) !== undefined && !suspicions.isLongLost(id),
    ).length;
  }
}
