import {Upstream} from '../../fleet/common/upstream.js';
import {PathSearchResult} from '../../paths/common/pathSearch.js';
import {LimitedWait, LimitFilter} from '../common/limitFilter.js';
import {ForwardingServices} from './forwardingServices.js';
import {PathChooser} from './pathChooser.js';

/** A path, or why there is none. */
export type EntryChoice =
  | PathSearchResult
  /** Each upstream at which a path could start has reached its limit. */
  | {readonly kind: 'limited'; readonly wait: LimitedWait};

/** An upstream to which a request was sent before. */
export interface SentUpstream {
  readonly upstream: string;
  /** Why it does not count against the limit; undefined if it counts. */
  readonly leftOutAs: 'unlisted' | 'suspected' | undefined;
}

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
   * Finds a path over all layers. Once the number is reached, the path must start at an upstream that was used
   * before. It starts at no upstream that has reached the limit that it names.
   */
  choosePath(pathChooser: PathChooser): EntryChoice {
    const mayUseNew = this.liveCount < this.limit;
    const limitFilter = new LimitFilter(this.services.rateLimiter);
    const canStartAt = (upstream: Upstream): boolean =>
      (mayUseNew || this.sentTo.has(upstream.id)) &&
      limitFilter.accepts(upstream);
    const choice = pathChooser.whole(canStartAt);
    const {wait} = limitFilter;
    return choice.kind === 'noRoom' && wait !== undefined
      ? {kind: 'limited', wait}
      : choice;
  }

  /** The upstreams to which the request was sent, and why those that do not count were left out. */
  get history(): readonly SentUpstream[] {
    return [...this.sentTo].map(id => ({
      upstream: id,
      leftOutAs: this.leftOutAs(id),
    }));
  }

  private get liveCount(): number {
    return this.history.filter(({leftOutAs}) => leftOutAs === undefined).length;
  }

  private leftOutAs(id: string): SentUpstream['leftOutAs'] {
    const {directory, suspicions} = this.services;
    if (directory.find(id) === undefined) {
      return 'unlisted';
    }
    return suspicions.isLongLost(id) ? 'suspected' : undefined;
  }
}
