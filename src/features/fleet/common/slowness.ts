import {Clock} from '../../../base/common/clock.js';
import {Emitter} from '../../../base/common/event.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';

/** A factor counts for this long after it was heard; reports come every second or two. */
const VALID_MILLISECONDS = 5_000;

/** Factors below this are those of a sound upstream. */
const LEAST_FACTOR = 1.1;

/** From this factor on running streams are moved off where another upstream can take their part. */
const MOVING_FACTOR = 2.5;

/** How many times slower than its kind each upstream is, as it reported. */
export class Slowness extends DisposableOwner {
  private readonly slowed = this.register(new Emitter<string>());
  private readonly factors = new Map<string, {factor: number; at: number}>();

  /** Fires with an upstream that has become so slow that streams had better leave it. */
  readonly onDidSlow = this.slowed.event;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    super();
  }

  /** Takes a reported factor. */
  note(upstream: string, factor: number): void {
    const before = this.of(upstream);
    if (factor >= MOVING_FACTOR && before < MOVING_FACTOR) {
      this.logger.decision('upstreamSlow', {upstream, factor, before});
      this.slowed.fire(upstream);
    }
    if (factor < LEAST_FACTOR) {
      this.factors.delete(upstream);
    } else {
      this.factors.set(upstream, {factor, at: this.now()});
    }
  }

  /** 1 for a sound upstream. */
  of(upstream: string): number {
    const known = this.factors.get(upstream);
    if (known === undefined) {
      return 1;
    }
    if (this.now() - known.at > VALID_MILLISECONDS) {
      this.factors.delete(upstream);
      return 1;
    }
    return known.factor;
  }

  /** The upstreams that are slow now, for peers. */
  get all(): ReadonlyMap<string, number> {
    const all = new Map<string, number>();
    for (const id of [...this.factors.keys()]) {
      const factor = this.of(id);
      if (factor > 1) {
        all.set(id, factor);
      }
    }
    return all;
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}
