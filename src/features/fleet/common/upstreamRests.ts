import {Clock} from '../../../base/common/clock.js';
import {Emitter} from '../../../base/common/event.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';

/** Longest rest that is believed: a malformed time must not exclude an upstream for good. */
const MAX_REST_MILLISECONDS = 10 * 60_000;

/**
 * Time for which no instance sends to an upstream whose response did not end: long enough that few callers meet it, short enough that
 * its return is noticed.
 */
const FLOOD_REST_MILLISECONDS = 10_000;

/**
 * Delay of a message between peers. A rest that seems to end later by less is the same one; it must not grow on its
 * way from peer to peer.
 */
const MESSAGE_DELAY_MILLISECONDS = 300;

/** The rest of an upstream that peers must keep to, too. */
export interface RestReading {
  readonly upstream: string;
  readonly remainingMilliseconds: number;
}

interface Rest {
  /** Monotonic milliseconds. */
  readonly until: number;
  /** Whether the peers must know: the upstream asked one that relayed the request, or is faulty for all. */
  readonly isShared: boolean;
}

/** Tracks for how long upstreams want no requests of this instance, or must not get any. */
export class UpstreamRests extends DisposableOwner {
  private readonly shared = this.register(new Emitter<string>());
  private readonly flooded = this.register(new Emitter<string>());
  private readonly rests = new Map<string, Rest>();

  /** Fires with the identifier of an upstream that asked a peer for rest which relayed a request of this instance. */
  readonly onDidRestRelay = this.shared.event;

  /** Fires with the identifier of an upstream whose response to this instance did not end. */
  readonly onDidFlood = this.flooded.event;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    super();
  }

  /**
   * Records that an upstream turned a request away and asked for rest. Of several rests the last end counts.
   * @param isRelayed whether a peer relayed the request
   */
  record(
    upstream: string,
    askedMilliseconds: number,
    isRelayed: boolean,
  ): void {
    this.extend(upstream, askedMilliseconds, isRelayed);
    if (isRelayed) {
      this.shared.fire(upstream);
    }
  }

  /** Records that the response of an upstream did not end, so that all instances leave it alone for a while. */
  recordFlood(upstream: string): void {
    this.logger.decision('upstreamFloods', {upstream});
    this.extend(upstream, FLOOD_REST_MILLISECONDS, true);
    this.flooded.fire(upstream);
  }

  /** Records a rest that a peer told of. */
  recordFromPeer({upstream, remainingMilliseconds}: RestReading): void {
    const known = this.rests.get(upstream)?.until ?? -Infinity;
    const excess = this.now() + remainingMilliseconds - known;
    if (excess > MESSAGE_DELAY_MILLISECONDS) {
      this.extend(upstream, remainingMilliseconds, true);
    }
  }

  /** Milliseconds until this instance may send a request to an upstream; 0 if it may now. */
  millisecondsUntilPermit(upstream: string): number {
    const until = this.rests.get(upstream)?.until ?? -Infinity;
    return Math.max(0, until - this.now());
  }

  /** Number of upstreams that rest. */
  get count(): number {
    const now = this.now();
    return [...this.rests.values()].filter(({until}) => until > now).length;
  }

  /** Rests for peers, including those that peers told of, so that they reach all instances. */
  get readings(): readonly RestReading[] {
    const now = this.now();
    return [...this.rests]
      .filter(([, {until, isShared}]) => isShared && until > now)
      .map(([upstream, {until}]) => ({
        upstream,
        remainingMilliseconds: until - now,
      }));
  }

  /** Forgets the upstreams that the predicate rejects. */
  retain(isKept: (upstream: string) => boolean): void {
    const now = this.now();
    for (const [upstream, {until}] of this.rests) {
      // A row may be missing for a moment, and the rest holds for the run.
      if (until <= now && !isKept(upstream)) {
        this.rests.delete(upstream);
      }
    }
  }

  private extend(
    upstream: string,
    askedMilliseconds: number,
    isRelayed: boolean,
  ): void {
    const now = this.now();
    const known = this.rests.get(upstream);
    const milliseconds = Math.min(askedMilliseconds, MAX_REST_MILLISECONDS);
    const until = Math.max(known?.until ?? -Infinity, now + milliseconds);
    const isResting = known !== undefined && known.until > now;
    const isShared = isRelayed || (isResting && known.isShared);
    if (!isResting) {
      this.logger.decision('upstreamRest', {
        upstream,
        milliseconds,
        asked: askedMilliseconds,
        isRelayed,
      });
    }
    this.rests.set(upstream, {until, isShared});
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}
