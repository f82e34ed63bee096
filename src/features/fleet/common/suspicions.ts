import {Clock} from '../../../base/common/clock.js';
import {Emitter} from '../../../base/common/event.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';

/** Why an upstream is held to be lost. */
export type SuspicionReason =
  | 'unreachable'
  | 'reset'
  | 'silent'
  | 'namedByUpstream'
  /** It answers, but refused work or was named as the one that can't take it. */
  | 'refusing'
  | 'misdirected'
  | 'toldByPeer';

/**
 * An upstream that refuses work answers trial calls all the same: it is left out for this long, and
 * twice as long each time that it refuses again soon after.
 */
const REFUSAL_MILLISECONDS = 300;
const REFUSAL_LIMIT_MILLISECONDS = 5_000;

/** A refusal this long after the last one counts as the first. */
const REFUSAL_MEMORY_MILLISECONDS = 8_000;

/** A suspicion that began. */
export interface Suspicion {
  readonly upstream: string;
  readonly reason: SuspicionReason;
  readonly since: number;
  /** Monotonic milliseconds before which no answer clears it. */
  readonly until: number;
}

/** The refusals of an upstream in a row. */
interface Refusals {
  readonly count: number;
  readonly at: number;
}

/** An upstream that is suspected and not cleared gets a trial at most this often. */
export const TRIAL_PERIOD_MILLISECONDS = 500;

/** Upstreams that are held to be lost. They get no new work until a trial call was answered. */
export class Suspicions extends DisposableOwner {
  private readonly begun = this.register(new Emitter<Suspicion>());
  private readonly suspected = new Map<string, Suspicion>();
  private readonly refusals = new Map<string, Refusals>();

  /** Fires when an upstream becomes suspected. */
  readonly onDidSuspect = this.begun.event;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    super();
  }

  /**
   * Holds an upstream to be lost; answers whether that is news. One that only refuses can still turn out
   * to be lost: a dead upstream is named in refusals before anything else shows that it is dead.
   */
  suspect(
    upstream: string,
    reason: SuspicionReason,
    evidence: Readonly<Record<string, unknown>>,
  ): boolean {
    const known = this.suspected.get(upstream);
    if (known !== undefined && !isWorse(reason, known.reason)) {
      return false;
    }
    const since = this.clock.monotonicMilliseconds();
    const hold = reason === 'refusing' ? this.holdOf(upstream, since) : 0;
    const suspicion = {upstream, reason, since, until: since + hold};
    this.suspected.set(upstream, suspicion);
    this.logger.decision('upstreamSuspected', {upstream, reason, ...evidence});
    this.begun.fire(suspicion);
    return true;
  }

  /** A trial was answered, or the upstream is gone from the list. */
  clear(upstream: string, cause: 'answered' | 'gone'): void {
    const suspicion = this.suspected.get(upstream);
    const now = this.clock.monotonicMilliseconds();
    if (cause === 'gone') {
      this.refusals.delete(upstream);
    }
    if (
      suspicion === undefined ||
      (cause === 'answered' && now < suspicion.until)
    ) {
      return;
    }
    this.suspected.delete(upstream);
    const lasted = Math.round(now - suspicion.since);
    this.logger.decision('upstreamCleared', {upstream, cause, lasted});
  }

  /** How long a refusal counts, longer with each one in a row. */
  private holdOf(upstream: string, now: number): number {
    const last = this.refusals.get(upstream);
    const isInRow =
      last !== undefined && now - last.at < REFUSAL_MEMORY_MILLISECONDS;
    const count = isInRow ? last.count + 1 : 1;
    this.refusals.set(upstream, {count, at: now});
    const hold = REFUSAL_MILLISECONDS * 2 ** (count - 1);
    return Math.min(hold, REFUSAL_LIMIT_MILLISECONDS);
  }

  /** Whether an upstream is held to be lost. */
  has(upstream: string): boolean {
    return this.suspected.has(upstream);
  }

  /** Whether an upstream is held to be lost for what it runs, too; one that refuses may well finish that. */
  isLost(upstream: string): boolean {
    const suspicion = this.suspected.get(upstream);
    return suspicion !== undefined && suspicion.reason !== 'refusing';
  }

  /** Whether an upstream has been held to be lost for longer than a time. */
  isLostFor(upstream: string, milliseconds: number): boolean {
    const suspicion = this.suspected.get(upstream);
    const age = this.clock.monotonicMilliseconds() - (suspicion?.since ?? 0);
    return this.isLost(upstream) && age > milliseconds;
  }

  /** Whether an upstream answers nothing for longer than a time; one that holds other layers than was thought answers. */
  isSilentFor(upstream: string, milliseconds: number): boolean {
    const reason = this.suspected.get(upstream)?.reason;
    return reason !== 'misdirected' && this.isLostFor(upstream, milliseconds);
  }

  /** Whether an upstream has been lost for so long that it did not answer further trial calls either. */
  isLongLost(upstream: string): boolean {
    return this.isLostFor(upstream, 1.5 * TRIAL_PERIOD_MILLISECONDS);
  }

  /** All suspicions. */
  get all(): readonly Suspicion[] {
    return [...this.suspected.values()];
  }
}

function isWorse(reason: SuspicionReason, known: SuspicionReason): boolean {
  return known === 'refusing' && reason !== 'refusing';
}
