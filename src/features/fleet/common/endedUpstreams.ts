import {Clock} from '../../../base/common/clock.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {SuspicionTracker} from './suspicionTracker.js';

/** What proves that a run of an upstream has ended. */
export type EndProof =
  /** Another run answered at its address. */
  | 'replaced'
  /** Its host refused connections of every instance. */
  | 'refused';

/** Time for which a proof is kept; no request lasts as long. */
const RETENTION_MILLISECONDS = 10 * 60_000;

interface StoredProof {
  readonly proof: EndProof;
  /** Monotonic milliseconds. */
  readonly at: number;
}

/**
 * Stores which runs of upstreams have certainly ended. Nothing that a sound upstream shows to one instance is a proof: it
 * pauses, its links are lost, its connections are refused, and its row lapses or is replaced while it serves others.
 */
export class EndedUpstreams extends DisposableOwner {
  private readonly proofs = new Map<string, StoredProof>();
  /** When runs were last found to run, in monotonic milliseconds. */
  private readonly runningAt = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    suspicions: SuspicionTracker,
  ) {
    super();
    this.register(
      suspicions.onDidClear(({suspicion, cause}) => {
        if (cause === 'answered') {
          this.recordRunning(suspicion.upstream);
        }
      }),
    );
  }

  /** What proves that a run has ended; undefined if nothing does. */
  proofOf(upstream: string): EndProof | undefined {
    return this.proofs.get(upstream)?.proof;
  }

  /** Whether a run of an upstream has certainly ended. */
  hasEnded(upstream: string): boolean {
    return this.proofs.has(upstream);
  }

  /**
   * Records a proof for a run of an upstream.
   * @param evidence what the proof rests on, for the log
   */
  record(
    upstream: string,
    proof: EndProof,
    evidence: Readonly<Record<string, unknown>>,
  ): void {
    this.removeExpired();
    if (!this.proofs.has(upstream)) {
      this.proofs.set(upstream, {proof, at: this.now()});
      this.logger.decision('upstreamEnded', {upstream, proof, ...evidence});
    }
  }

  /** When this instance or a peer last found a run to run, in monotonic milliseconds; -Infinity for never. */
  lastRunningAt(upstream: string): number {
    return this.runningAt.get(upstream) ?? -Infinity;
  }

  /** Records that a run has not ended; drops a proof that it had, so that it counts for later decisions. */
  recordRunning(upstream: string): void {
    this.retract(upstream);
    this.removeExpired();
    this.runningAt.set(upstream, this.now());
  }

  private retract(upstream: string): void {
    const stored = this.proofs.get(upstream);
    if (stored !== undefined) {
      this.proofs.delete(upstream);
      this.logger.decision('upstreamEndRetracted', {
        upstream,
        proof: stored.proof,
        age: Math.round(this.now() - stored.at),
      });
    }
  }

  private removeExpired(): void {
    const from = this.now() - RETENTION_MILLISECONDS;
    for (const [upstream, {at}] of this.proofs) {
      if (at < from) {
        this.proofs.delete(upstream);
      }
    }
    for (const [upstream, at] of this.runningAt) {
      if (at < from) {
        this.runningAt.delete(upstream);
      }
    }
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}
