import {PathAnswer} from '../../paths/common/pathSearch.js';
import {ForwardingServices} from './forwardingServices.js';
import {PathChooser} from './pathChooser.js';

/**
 * The upstreams that received one request. A request may be sent to so many as its route allows; those that
 * have ended do not count, but that must be sure: a suspicion may be wrong.
 */
export class FirstUpstreams {
  private readonly used = new Set<string>();

  constructor(
    private readonly services: ForwardingServices,
    private readonly limit: number,
  ) {}

  /** The request is sent to an upstream. */
  add(upstream: string): void {
    this.used.add(upstream);
  }

  /** A whole path; once no further first upstream may be used, one that begins at a used one. */
  choose(chooser: PathChooser): PathAnswer {
    if (this.counted < this.limit) {
      return chooser.whole(() => true);
    }
    return chooser.whole(
      ({id, layers}) => this.used.has(id) || (layers?.from ?? 0) > 0,
    );
  }

  private get counted(): number {
    const {directory, suspicions} = this.services;
    return [...this.used].filter(
      id => directory.find(id) !== undefined && !suspicions.isLongLost(id),
    ).length;
  }
}
