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
  | 'misdirected'
  | 'toldByPeer';

/** A suspicion that began. */
export interface Suspicion {
  readonly upstream: string;
  readonly reason: SuspicionReason;
  readonly since: number;
}

/** An upstream that is suspected and not cleared gets a trial at most this often. */
export const TRIAL_PERIOD_MILLISECONDS = 500;

/** Upstreams that are held to be lost. They get no new work until a trial call was answered. */
export class Suspicions extends DisposableOwner {
  private readonly begun = this.register(new Emitter<Suspicion>());
  private readonly suspected = new Map<string, Suspicion>();

  /** Fires when an upstream becomes suspected. */
  readonly onDidSuspect = this.begun.event;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    super();
  }

  /** Holds an upstream to be lost. */
  suspect(
    upstream: string,
    reason: SuspicionReason,
    evidence: Readonly<Record<string, unknown>>,
  ): void {
    if (this.suspected.has(upstream)) {
      return;
    }
    const since = this.clock.monotonicMilliseconds();
    const suspicion = {upstream, reason, since};
    this.suspected.set(upstream, suspicion);
    this.logger.decision('upstreamSuspected', {upstream, reason, ...evidence});
    this.begun.fire(suspicion);
  }

  /** A trial was answered, or the upstream is gone from the list. */
  clear(upstream: string, cause: 'answered' | 'gone'): void {
    const suspicion = this.suspected.get(upstream);
    if (suspicion === undefined) {
      return;
    }
    this.suspected.delete(upstream);
    const lasted = this.clock.monotonicMilliseconds() - suspicion.since;
    this.logger.decision('upstreamCleared', {upstream, cause, lasted});
  }

  /** Whether an upstream is held to be lost. */
  has(upstream: string): boolean {
    return this.suspected.has(upstream);
  }

  /** All suspicions. */
  get all(): readonly Suspicion[] {
    return [...this.suspected.values()];
  }
}
