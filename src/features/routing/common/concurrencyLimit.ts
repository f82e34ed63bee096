/** Ratio of decode time to uncontended decode time above which the limit is too high. */
const CONTENDED_RATIO = 2;
const DECREASE_FACTOR = 0.9;
/** Share of the limit that must be in use for the limit to grow. */
const MINIMUM_UTILIZATION = 0.8;
/** The uncontended time grows by a factor of e in this time, so that a permanent slowdown becomes the new baseline. */
const BASELINE_TIME_CONSTANT_MILLISECONDS = 3600000;
/** Minimum time between decreases: a round of sequences must first run at the lower limit to show its effect. */
const DECREASE_INTERVAL_MILLISECONDS = 500;
const MAXIMUM_UPSTREAMS = 4096;

interface LimitState {
  readonly limit: number;
  readonly uncontendedMilliseconds: number;
  readonly decreasedAt: number;
  readonly updatedAt: number;
}

/**
 * Adapts a sequence limit for each upstream to its decode time (AIMD): additive increase while decode
 * time stays near its uncontended value, multiplicative decrease beyond. The engine's own limit caps it.
 */
export class ConcurrencyLimit {
  private readonly learned = new Map<string, LimitState>();

  /** Updates the limit from a mean decode time measured with `resident` sequences. */
  observe(
    upstream: string,
    decodeMilliseconds: number,
    resident: number,
    engineLimit: number,
    now: number,
  ): void {
    if (!(decodeMilliseconds > 0)) {
      return;
    }
    const previous = this.learned.get(upstream);
    const limit = Math.min(previous?.limit ?? engineLimit, engineLimit);
    const elapsed = now - (previous?.updatedAt ?? now);
    const baselineGrowth = Math.exp(
      elapsed / BASELINE_TIME_CONSTANT_MILLISECONDS,
    );
    const baselineMilliseconds =
      (previous?.uncontendedMilliseconds ?? Infinity) * baselineGrowth;
    const uncontendedMilliseconds = Math.min(
      baselineMilliseconds,
      decodeMilliseconds,
    );
    const decreasedAt = previous?.decreasedAt ?? -Infinity;
    const isContended =
      decodeMilliseconds > CONTENDED_RATIO * uncontendedMilliseconds;
    const canDecrease = now - decreasedAt >= DECREASE_INTERVAL_MILLISECONDS;
    if (isContended && canDecrease) {
      const decreased = Math.max(
        1,
        Math.min(limit, resident) * DECREASE_FACTOR,
      );
      this.store(upstream, {
        limit: decreased,
        uncontendedMilliseconds,
        decreasedAt: now,
        updatedAt: now,
      });
      return;
    }
    const canGrow = !isContended && resident >= limit * MINIMUM_UTILIZATION;
    const limitAfter = canGrow
      ? Math.min(engineLimit, limit + 1 / limit)
      : limit;
    this.store(upstream, {
      limit: limitAfter,
      uncontendedMilliseconds,
      decreasedAt,
      updatedAt: now,
    });
  }

  /** The current limit on resident sequences, an integer from 1 to `engineLimit`. */
  limit(upstream: string, engineLimit: number): number {
    const learned = this.learned.get(upstream)?.limit ?? engineLimit;
    return Math.max(1, Math.floor(Math.min(learned, engineLimit)));
  }

  /** Drops the state of an upstream that left or restarted. */
  forget(upstream: string): void {
    this.learned.delete(upstream);
  }

  private store(upstream: string, state: LimitState): void {
    this.learned.delete(upstream);
    this.learned.set(upstream, state);
    if (this.learned.size > MAXIMUM_UPSTREAMS) {
      const [oldest] = this.learned.keys();
      this.learned.delete(oldest!);
    }
  }
}
