/** Decode time over the uncontended time at which a limit is too high. */
const CONTENDED_RATIO = 2;
const DECREASE = 0.9;
/** Share of the limit that must have been in use for the limit to grow. */
const IN_USE_SHARE = 0.8;
/** Milliseconds in which the uncontended time grows by e, so that a lasting change is learned. */
const BASELINE_TIME_CONSTANT_MILLISECONDS = 3600000;
/** Milliseconds between two decreases: one round of sequences must show the effect first. */
const DECREASE_INTERVAL_MILLISECONDS = 500;
const MAXIMUM_ENTRIES = 4096;

interface Learned {
  readonly limit: number;
  readonly uncontended: number;
  readonly decreasedAt: number;
  readonly at: number;
}

/**
 * Sequence limits learned for each upstream from its decode time: additive increase while it stays
 * near the uncontended time, multiplicative decrease beyond. Never above the engine's own limit.
 */
export class ConcurrencyLimit {
  private readonly learned = new Map<string, Learned>();

  /** Takes a mean decode time and how many sequences were resident. */
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
    const known = this.learned.get(upstream);
    const limit = Math.min(known?.limit ?? engineLimit, engineLimit);
    const elapsed = now - (known?.at ?? now);
    const drift = Math.exp(elapsed / BASELINE_TIME_CONSTANT_MILLISECONDS);
    const baseline = (known?.uncontended ?? Infinity) * drift;
    const uncontended = Math.min(baseline, decodeMilliseconds);
    const decreasedAt = known?.decreasedAt ?? -Infinity;
    const contended = decodeMilliseconds > CONTENDED_RATIO * uncontended;
    const mayDecrease = now - decreasedAt >= DECREASE_INTERVAL_MILLISECONDS;
    if (contended && mayDecrease) {
      const lower = Math.max(1, Math.min(limit, resident) * DECREASE);
      this.keep(upstream, {
        limit: lower,
        uncontended,
        decreasedAt: now,
        at: now,
      });
      return;
    }
    const grows = !contended && resident >= limit * IN_USE_SHARE;
    const next = grows ? Math.min(engineLimit, limit + 1 / limit) : limit;
    this.keep(upstream, {limit: next, uncontended, decreasedAt, at: now});
  }

  /** Sequences that may be resident, a whole number from 1 to the engine's limit. */
  limit(upstream: string, engineLimit: number): number {
    const learned = this.learned.get(upstream)?.limit ?? engineLimit;
    return Math.max(1, Math.floor(Math.min(learned, engineLimit)));
  }

  /** Forgets an upstream that left or restarted. */
  forget(upstream: string): void {
    this.learned.delete(upstream);
  }

  private keep(upstream: string, learned: Learned): void {
    this.learned.delete(upstream);
    this.learned.set(upstream, learned);
    if (this.learned.size > MAXIMUM_ENTRIES) {
      const [oldest] = this.learned.keys();
      this.learned.delete(oldest!);
    }
  }
}
