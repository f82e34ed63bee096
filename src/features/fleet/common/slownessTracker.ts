import {Clock} from '../../../base/common/clock.js';
import {Emitter} from '../../../base/common/event.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';

/** Time for which a reported factor is valid; reports arrive every one or two seconds. */
const READING_LIFETIME_MILLISECONDS = 5_000;

/** Smaller factors are ignored, so that the upstream counts as healthy. */
const MIN_EFFECTIVE_FACTOR = 1.1;

/** From this factor on an upstream is slow: its streams are moved if others can take over their layers. */
const SLOW_FACTOR = 2.5;

/** A slowness factor that an instance read from an upstream's report. */
export interface SlownessReading {
  readonly upstream: string;
  readonly factor: number;
  readonly ageMilliseconds: number;
}

interface StoredReading {
  readonly factor: number;
  /** Monotonic milliseconds of the report. */
  readonly at: number;
  readonly isOwn: boolean;
}

/**
 * Tracks the factor by which each upstream is slower than its kind, as reported. Peers receive only readings of this
 * instance, with their age: readings relayed from peer to peer would outlast the slowdown.
 */
export class SlownessTracker extends DisposableOwner {
  private readonly becameSlow = this.register(new Emitter<string>());
  private readonly readings = new Map<string, StoredReading>();

  /** Fires with the identifier of an upstream that becomes slow. */
  readonly onDidBecomeSlow = this.becameSlow.event;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    super();
  }

  /** Records a factor that an upstream reported to this instance just now. */
  recordOwn(upstream: string, factor: number): void {
    this.update(upstream, {factor, at: this.now(), isOwn: true});
  }

  /** Records a factor that an upstream reported to a peer. */
  recordFromPeer({upstream, factor, ageMilliseconds}: SlownessReading): void {
    const at = this.now() - ageMilliseconds;
    this.update(upstream, {factor, at, isOwn: false});
  }

  /** The current factor of an upstream; 1 if it is healthy or has no valid reading. */
  factorOf(upstream: string): number {
    const known = this.readings.get(upstream);
    const isEffective =
      known !== undefined &&
      known.factor >= MIN_EFFECTIVE_FACTOR &&
      this.now() - known.at <= READING_LIFETIME_MILLISECONDS;
    return isEffective ? known.factor : 1;
  }

  /** Whether an upstream is so slow that its requests should run elsewhere. */
  isSlow(upstream: string): boolean {
    return this.factorOf(upstream) >= SLOW_FACTOR;
  }

  /** Readings of slow upstreams by this instance itself, to be sent to peers. */
  get own(): readonly SlownessReading[] {
    this.removeExpired();
    const now = this.now();
    return [...this.readings]
      .filter(([, {factor, isOwn}]) => isOwn && factor >= MIN_EFFECTIVE_FACTOR)
      .map(([upstream, {factor, at}]) => ({
        upstream,
        factor,
        ageMilliseconds: now - at,
      }));
  }

  private update(upstream: string, reading: StoredReading): void {
    const known = this.readings.get(upstream);
    const knownAt = known?.at ?? -Infinity;
    const isNewer = reading.isOwn
      ? reading.at >= knownAt
      : reading.at > knownAt;
    if (!isNewer) {
      return;
    }
    const before = this.factorOf(upstream);
    this.readings.set(upstream, reading);
    const factor = this.factorOf(upstream);
    if (factor >= SLOW_FACTOR && before < SLOW_FACTOR) {
      const age = Math.round(this.now() - reading.at);
      this.logger.decision('upstreamSlow', {upstream, factor, before, age});
      this.becameSlow.fire(upstream);
    }
  }

  private removeExpired(): void {
    const from = this.now() - READING_LIFETIME_MILLISECONDS;
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
