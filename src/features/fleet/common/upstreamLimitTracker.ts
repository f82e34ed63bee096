import {Clock} from '../../../base/common/clock.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';

/**
 * Time for which the end of a limit is remembered, and for which a peer's reading counts. Gossip reaches all instances
 * in less time, so that no late copy of the limit brings it back.
 */
const READING_LIFETIME_MILLISECONDS = 10_000;

/** The limit in an answer of an upstream, as one instance read it. */
export interface LimitReading {
  readonly upstream: string;
  /** Requests a second that the upstream takes from all instances together; undefined if it named none. */
  readonly requestsPerSecond?: number | undefined;
  readonly ageMilliseconds: number;
}

/** The limit that an upstream names. */
export interface UpstreamLimit {
  readonly requestsPerSecond: number;
  /** Monotonic milliseconds of the latest answer that named it. */
  readonly confirmedAt: number;
}

interface StoredReading {
  readonly requestsPerSecond: number | undefined;
  /** Monotonic milliseconds. */
  readonly at: number;
}

/** Tracks the limits that upstreams name in their answers, to this instance or to a peer. The latest answer counts. */
export class UpstreamLimitTracker {
  private readonly stored = new Map<string, StoredReading>();

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /**
   * Records what an upstream named in an answer that arrived just now.
   * @param sentAt monotonic milliseconds at which the request was sent. An answer without a limit counts as of then:
   *     it may have been created before another answer that named one.
   */
  recordOwn(
    upstream: string,
    requestsPerSecond: number | undefined,
    sentAt: number,
  ): void {
    const at = requestsPerSecond === undefined ? sentAt : this.now();
    this.record(upstream, {requestsPerSecond, at}, 'own');
  }

  /** Records a reading that a peer made or passed on. */
  recordFromPeer(reading: LimitReading): void {
    const {upstream, requestsPerSecond, ageMilliseconds} = reading;
    if (ageMilliseconds <= READING_LIFETIME_MILLISECONDS) {
      const at = this.now() - ageMilliseconds;
      this.record(upstream, {requestsPerSecond, at}, 'peer');
    }
  }

  /** The limit of an upstream; undefined if it names none. */
  limitOf(upstream: string): UpstreamLimit | undefined {
    const reading = this.stored.get(upstream);
    return reading?.requestsPerSecond === undefined
      ? undefined
      : {
          requestsPerSecond: reading.requestsPerSecond,
          confirmedAt: reading.at,
        };
  }

  /** Number of upstreams that name a limit. */
  get limitedCount(): number {
    return [...this.stored.values()].filter(isLimit).length;
  }

  /** Recent readings for peers, including those of peers, so that they reach all instances within a few rounds. */
  get readings(): readonly LimitReading[] {
    const now = this.now();
    const recent = [...this.stored].filter(
      ([, {at}]) => now - at <= READING_LIFETIME_MILLISECONDS,
    );
    return recent.map(([upstream, {requestsPerSecond, at}]) => ({
      upstream,
      requestsPerSecond,
      ageMilliseconds: now - at,
    }));
  }

  /** Forgets the upstreams that the predicate rejects. */
  retain(isKept: (upstream: string) => boolean): void {
    for (const upstream of this.stored.keys()) {
      if (!isKept(upstream)) {
        this.stored.delete(upstream);
      }
    }
  }

  private record(
    upstream: string,
    reading: StoredReading,
    source: 'own' | 'peer',
  ): void {
    this.removeEnded();
    const known = this.stored.get(upstream);
    const isNews = known !== undefined || isLimit(reading);
    if (!isNews || reading.at < (known?.at ?? -Infinity)) {
      return;
    }
    this.stored.set(upstream, reading);
    if (known?.requestsPerSecond !== reading.requestsPerSecond) {
      this.logger.decision('upstreamLimit', {
        upstream,
        requestsPerSecond: reading.requestsPerSecond ?? null,
        before: known?.requestsPerSecond ?? null,
        source,
        age: Math.round(this.now() - reading.at),
      });
    }
  }

  private removeEnded(): void {
    const from = this.now() - READING_LIFETIME_MILLISECONDS;
    for (const [upstream, reading] of this.stored) {
      if (!isLimit(reading) && reading.at < from) {
        this.stored.delete(upstream);
      }
    }
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}

function isLimit({requestsPerSecond}: StoredReading): boolean {
  return requestsPerSecond !== undefined;
}
