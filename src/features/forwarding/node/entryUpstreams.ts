import {EndProof} from '../../fleet/common/endedUpstreams.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {PathSearchResult} from '../../paths/common/pathSearch.js';
import {AdmissionWait, AdmissionFilter} from '../common/admissionFilter.js';
import {ForwardingServices} from './forwardingServices.js';
import {PathChooser} from './pathChooser.js';

/** A path, or why there is none. */
export type EntryChoice =
  | PathSearchResult
  /** Each upstream at which a path could start has reached its limit or rests. */
  | {readonly kind: 'limited'; readonly wait: AdmissionWait}
  /** The route allows no further upstream, and none that was used before is usable now. */
  | {readonly kind: 'attemptsUsed'};

/** An upstream to which a request was sent before. */
export interface SentUpstream {
  readonly upstream: string;
  /** What proves that it has ended, so that it does not count against the limit; null if it counts. */
  readonly endProof: EndProof | null;
}

interface UsedEntry {
  readonly upstream: Upstream;
  /** Whether a response of it broke off. */
  readonly hasBrokenOff: boolean;
}

/**
 * Limits the entry upstreams to which one request is sent to the number that its route allows. An upstream stops
 * counting only when it has certainly ended: one that was merely lost from sight may still run the request.
 */
export class EntryUpstreams {
  private readonly used = new Map<string, UsedEntry>();
  /** The upstream that the last attempt used for the first time. */
  private firstUsedByLast: string | undefined;

  constructor(
    private readonly services: ForwardingServices,
    private readonly limit: number,
  ) {}

  /** Records an attempt. */
  add(upstream: Upstream): void {
    const known = this.used.get(upstream.id);
    this.firstUsedByLast = known === undefined ? upstream.id : undefined;
    this.used.set(upstream.id, known ?? {upstream, hasBrokenOff: false});
  }

  /** Takes the last attempt back, of which nothing was written to its upstream. */
  takeBackLast(): void {
    if (this.firstUsedByLast !== undefined) {
      this.used.delete(this.firstUsedByLast);
    }
  }

  /** Records that the response of an attempt broke off. */
  recordBrokenOff(upstream: Upstream): void {
    if (this.used.has(upstream.id)) {
      this.used.set(upstream.id, {upstream, hasBrokenOff: true});
    }
  }

  /** The upstreams to which the request was sent. */
  get history(): readonly SentUpstream[] {
    const {endedUpstreams} = this.services;
    return [...this.used.values()].map(({upstream}) => ({
      upstream: upstream.id,
      endProof: endedUpstreams.proofOf(upstream.id) ?? null,
    }));
  }

  /** Whether the request may be sent now to an upstream other than a given one. */
  hasStartOtherThan(current: string | undefined): boolean {
    const {directory, suspicions} = this.services;
    const isUsable = (id: string): boolean =>
      directory.find(id)?.isLeaving === false && !suspicions.isSuspect(id);
    return (
      this.mayUseNew ||
      [...this.used.keys()].some(id => id !== current && isUsable(id))
    );
  }

  /** Looks for proofs that upstreams that count have ended; resolves when the search is over. */
  async seekProofs(): Promise<void> {
    const {endCheck} = this.services;
    await Promise.all(
      this.counted.map(({upstream, hasBrokenOff}) =>
        endCheck.request(upstream, hasBrokenOff),
      ),
    );
  }

  /**
   * Finds a path over all layers. Once the number is reached, the path must start at an upstream that was used
   * before. It starts at no upstream that has reached the limit that it names, or that rests.
   */
  choosePath(pathChooser: PathChooser): EntryChoice {
    const {mayUseNew} = this;
    const admissionFilter = new AdmissionFilter(this.services.admission);
    let hasStart = false;
    const choice = pathChooser.whole(upstream => {
      if (!mayUseNew && !this.used.has(upstream.id)) {
        return false;
      }
      hasStart = true;
      return admissionFilter.accepts(upstream);
    });
    if (choice.kind === 'found') {
      return choice;
    }
    if (!mayUseNew && !hasStart) {
      return {kind: 'attemptsUsed'};
    }
    const {wait} = admissionFilter;
    return choice.kind === 'noRoom' && wait !== undefined
      ? {kind: 'limited', wait}
      : choice;
  }

  private get mayUseNew(): boolean {
    return this.counted.length < this.limit;
  }

  private get counted(): readonly UsedEntry[] {
    const {endedUpstreams} = this.services;
    return [...this.used.values()].filter(
      ({upstream}) => !endedUpstreams.hasEnded(upstream.id),
    );
  }
}
