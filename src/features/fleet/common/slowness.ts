import {Clock} from '../../../base/common/clock.js';
import {Emitter} from '../../../base/common/event.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';

/** A factor counts for this long after it was reported; reports come every second or two. */
const VALID_MILLISECONDS = 5_000;

/** Factors below this are those of a sound upstream. */
const LEAST_FACTOR = 1.1;

/** From this factor on running streams are moved off where another upstream can take their part. */
const MOVING_FACTOR = 2.5;

/** What an instance has read in a report itself. */
export interface SlownessReading {
  readonly upstream: string;
  readonly factor: number;
  readonly ageMilliseconds: number;
}

interface Known {
  readonly factor: number;
  /** Monotonic milliseconds of the report. */
  readonly at: number;
  readonly isOwn: boolean;
}

/**
 * How many times slower than its kind each upstream is, as it reported. Peers are told only what was read
 * here, with its age: news that is passed on and on would outlive the slowness.
 */
export class Slowness extends DisposableOwner {
  private readonly slowed = this.register(new Emitter<string>());
  private readonly readings = new Map<string, Known>();

  /** Fires with an upstream that has become so slow that streams had better leave it. */
  readonly onDidSlow = this.slowed.event;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    super();
  }

  /** Takes a factor that was reported just now. */
  note(upstream: string, factor: number): void {
    this.take(upstream, {factor, at: this.now(), isOwn: true});
  }

  /** Takes a factor that a peer has read. */
  hear({upstream, factor, ageMilliseconds}: SlownessReading): void {
    const at = this.now() - ageMilliseconds;
    this.take(upstream, {factor, at, isOwn: false});
  }

  /** 1 for a sound upstream. */
  of(upstream: string): number {
    const known = this.readings.get(upstream);
    const counts =
      known !== undefined &&
      known.factor >= LEAST_FACTOR &&
      this.now() - known.at <= VALID_MILLISECONDS;
    return counts ? known.factor : 1;
  }

  /** Whether an upstream is so slow that what runs on it had better run elsewhere. */
  isSlow(upstream: string): boolean {
    return this.of(upstream) >= MOVING_FACTOR;
  }

  /** The slow upstreams that this instance has read of itself, for peers. */
  get own(): readonly SlownessReading[] {
    this.forgetOld();
    const now = this.now();
    return [...this.readings]
      .filter(([, {factor, isOwn}]) => isOwn && factor >= LEAST_FACTOR)
      .map(([upstream, {factor, at}]) => ({
        upstream,
        factor,
        ageMilliseconds: now - at,
      }));
  }

  private take(upstream: string, reading: Known): void {
    const known = this.readings.get(upstream);
    const knownAt = known?.at ?? -Infinity;
    const isNewer = reading.isOwn
      ? reading.at >= knownAt
      : reading.at > knownAt;
    if (!isNewer) {
      return;
    }
    const before = this.of(upstream);
    this.readings.set(upstream, reading);
    const factor = this.of(upstream);
    if (factor >= MOVING_FACTOR && before < MOVING_FACTOR) {
      const age = Math.round(this.now() - reading.at);
      this.logger.decision('upstreamSlow', {upstream, factor, before, age});
      this.slowed.fire(upstream);
    }
  }

  private forgetOld(): void {
    const from = this.now() - VALID_MILLISECONDS;
    for (const [upstream, {at}] of this.readings) {
      if (at < from) {
        this.readings.delete(upstream);
      }
    }
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}
