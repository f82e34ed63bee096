import {Clock} from '../../../base/common/clock.js';
import {Emitter} from '../../../base/common/event.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';

/** Why an upstream is suspected. */
export type SuspicionReason =
  | 'unreachable'
  | 'reset'
  | 'silent'
  | 'namedByUpstream'
  /** The upstream responds, but refused work or was named in a refusal as the one that cannot take it. */
  | 'refusing'
  | 'misdirected'
  | 'toldByPeer';

/**
 * An upstream that refuses work still answers probes, so the first refusal excludes it for this long. The time
 * doubles with each further refusal of a streak, up to the limit.
 */
const REFUSAL_HOLD_MILLISECONDS = 300;
const MAX_REFUSAL_HOLD_MILLISECONDS = 5_000;

/** A refusal that comes this long after the last one starts a new streak. */
const REFUSAL_RESET_MILLISECONDS = 8_000;

/** A suspicion about an upstream. */
export interface Suspicion {
  readonly upstream: string;
  readonly reason: SuspicionReason;
  readonly since: number;
  /** Monotonic milliseconds before which an answered probe does not clear it. */
  readonly heldUntil: number;
}

/** A suspicion that has ended. */
export interface ClearedSuspicion {
  readonly suspicion: Suspicion;
  readonly cause: 'answered' | 'gone';
}

/** Successive refusals of an upstream, not further apart than `REFUSAL_RESET_MILLISECONDS`. */
interface RefusalStreak {
  readonly count: number;
  readonly at: number;
}

/** Interval between probes of a suspected upstream. */
export const PROBE_PERIOD_MILLISECONDS = 500;

/** Upstreams that are suspected of a failure. They get no new work until they answer a probe. */
export class SuspicionTracker extends DisposableOwner {
  private readonly begun = this.register(new Emitter<Suspicion>());
  private readonly cleared = this.register(new Emitter<ClearedSuspicion>());
  private readonly suspected = new Map<string, Suspicion>();
  private readonly refusals = new Map<string, RefusalStreak>();

  /** Fires when an upstream becomes suspected. */
  readonly onDidSuspect = this.begun.event;

  /** Fires when a suspicion has ended. */
  readonly onDidClear = this.cleared.event;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    super();
  }

  /**
   * Suspects an upstream, and returns whether the suspicion is new. A suspicion for refusing work can still be
   * raised to a loss: refusals name a crashed upstream before anything else shows that it has crashed.
   */
  suspect(
    upstream: string,
    reason: SuspicionReason,
    evidence: Readonly<Record<string, unknown>>,
  ): boolean {
    const known = this.suspected.get(upstream);
    if (known !== undefined && !isMoreSevere(reason, known.reason)) {
      return false;
    }
    const since = this.clock.monotonicMilliseconds();
    const hold =
      reason === 'refusing' ? this.nextHoldMilliseconds(upstream, since) : 0;
    const suspicion = {upstream, reason, since, heldUntil: since + hold};
    this.suspected.set(upstream, suspicion);
    this.logger.decision('upstreamSuspected', {upstream, reason, ...evidence});
    this.begun.fire(suspicion);
    return true;
  }

  /** Ends a suspicion after an answered probe, if its hold time has passed, or after the upstream left the list. */
  clear(upstream: string, cause: ClearedSuspicion['cause']): void {
    const suspicion = this.suspected.get(upstream);
    const now = this.clock.monotonicMilliseconds();
    if (cause === 'gone') {
      this.refusals.delete(upstream);
    }
    if (
      suspicion === undefined ||
      (cause === 'answered' && now < suspicion.heldUntil)
    ) {
      return;
    }
    this.suspected.delete(upstream);
    const lasted = Math.round(now - suspicion.since);
    this.logger.decision('upstreamCleared', {upstream, cause, lasted});
    this.cleared.fire({suspicion, cause});
  }

  /** Counts a refusal, and returns for how long it excludes the upstream. */
  private nextHoldMilliseconds(upstream: string, now: number): number {
    const last = this.refusals.get(upstream);
    const isSameStreak =
      last !== undefined && now - last.at < REFUSAL_RESET_MILLISECONDS;
    const count = isSameStreak ? last.count + 1 : 1;
    this.refusals.set(upstream, {count, at: now});
    const hold = REFUSAL_HOLD_MILLISECONDS * 2 ** (count - 1);
    return Math.min(hold, MAX_REFUSAL_HOLD_MILLISECONDS);
  }

  /** Whether an upstream is suspected for any reason. */
  isSuspect(upstream: string): boolean {
    return this.suspected.has(upstream);
  }

  /** Whether the running requests of an upstream count as lost too; an upstream that refuses work may finish them. */
  isLost(upstream: string): boolean {
    const suspicion = this.suspected.get(upstream);
    return suspicion !== undefined && suspicion.reason !== 'refusing';
  }

  /** Whether an upstream has counted as lost for longer than a time. */
  isLostFor(upstream: string, milliseconds: number): boolean {
    const suspicion = this.suspected.get(upstream);
    const age = this.clock.monotonicMilliseconds() - (suspicion?.since ?? 0);
    return this.isLost(upstream) && age > milliseconds;
  }

  /** Whether an upstream has been lost for longer than a time, unless it was misdirected: then it still answers. */
  isSilentFor(upstream: string, milliseconds: number): boolean {
    const reason = this.suspected.get(upstream)?.reason;
    return reason !== 'misdirected' && this.isLostFor(upstream, milliseconds);
  }

  get all(): readonly Suspicion[] {
    return [...this.suspected.values()];
  }
}

function isMoreSevere(
  reason: SuspicionReason,
  known: SuspicionReason,
): boolean {
  return known === 'refusing' && reason !== 'refusing';
}
