import {CrashPhase} from './crashReport.js';

/** Losses of upstreams under one stream, and which of them may show that its prompt is deadly. */

/**
 * Upstreams that a stream, or it and its repeats, must have lost until it is suspect although it was written for long: most lose one by chance, and a
 * deadly prompt that ends upstreams late loses the next one soon.
 */
const LOSSES_FOR_LATE_SUSPICION = 2;

/** The loss of the upstream to which a stream was sent. */
export interface StreamLoss {
  /** Identifier of the run of the upstream. */
  readonly upstream: string;
  /** Whether the connection ended; otherwise the upstream is suspected. */
  readonly isConnectionEnded: boolean;
  /** Time from the upstream's first event to the loss; 0 before it. */
  readonly writingMilliseconds: number;
  readonly phase: CrashPhase;
  /** Monotonic milliseconds. */
  readonly at: number;
}

/** The upstreams that one stream has lost. */
export class StreamLosses {
  private readonly byUpstream = new Map<string, StreamLoss>();
  private unreported: readonly StreamLoss[] = [];

  /** Number of upstreams. */
  get count(): number {
    return this.byUpstream.size;
  }

  /** The last loss of each upstream. */
  get all(): readonly StreamLoss[] {
    return [...this.byUpstream.values()];
  }

  /**
   * Records a loss; returns the losses that are to be reported now.
   * @param endedUnderRequest number of upstreams that may have ended under the request and its repeats
   */
  record(loss: StreamLoss, endedUnderRequest: number): readonly StreamLoss[] {
    this.byUpstream.set(loss.upstream, loss);
    this.unreported = [...this.unreported, loss];
    const lostCount = Math.max(this.count, endedUnderRequest);
    if (loss.phase === 'late' && lostCount < LOSSES_FOR_LATE_SUSPICION) {
      return [];
    }
    const reported = this.unreported;
    this.unreported = [];
    return reported;
  }
}
