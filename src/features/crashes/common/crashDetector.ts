import {Clock} from '../../../base/common/clock.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {SuspicionTracker} from '../../fleet/common/suspicionTracker.js';
import {UpstreamDirectory} from '../../fleet/common/upstreamDirectory.js';
import {CrashPhase, SuspectRequest} from './crashReport.js';
import {PromptGuard} from './promptGuard.js';

/** Time within which the loss of an answer is confirmed as a crash: an upstream that ended leaves the list in less. */
const CONFIRMATION_MILLISECONDS = 6_000;

/** An answer that was lost under a request that may have caused it. */
export interface LostAnswer {
  /** Identifier of the run of the upstream. */
  readonly upstream: string;
  /** Whether the connection ended; otherwise the upstream fell silent. */
  readonly isConnectionEnded: boolean;
  readonly suspect: SuspectRequest;
  readonly phase: CrashPhase;
  /** Time since the loss. */
  readonly ageMilliseconds: number;
}

interface PendingLoss extends LostAnswer {
  /** Monotonic milliseconds. */
  readonly at: number;
}

/** Tells crashes from lost connections: an answer may be lost although its upstream goes on. */
export class CrashDetector extends DisposableOwner {
  private pending: readonly PendingLoss[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly directory: UpstreamDirectory,
    private readonly suspicions: SuspicionTracker,
    private readonly guard: PromptGuard,
    /** Whether this instance reaches no upstream itself, so that what it loses shows nothing. */
    private readonly isCutOff: () => boolean,
  ) {
    super();
    this.register(suspicions.onDidSuspect(() => this.review()));
    this.register(directory.onDidChange(() => this.review()));
  }

  /** Whether a run of an upstream has ended, as far as this instance knows. */
  hasEnded(upstream: string): boolean {
    return (
      this.directory.find(upstream) === undefined ||
      this.suspicions.isLost(upstream) ||
      this.guard.hasCrashed(upstream)
    );
  }

  /** Records a lost answer; it counts once its upstream is known to have ended. */
  recordLoss(loss: LostAnswer): void {
    const at = this.clock.monotonicMilliseconds();
    this.pending = [...this.pending, {...loss, at}];
    this.review();
  }

  private review(): void {
    const from = this.clock.monotonicMilliseconds() - CONFIRMATION_MILLISECONDS;
    const recent = this.pending.filter(({at}) => at >= from);
    const confirmed = recent.filter(loss => this.isConfirmed(loss));
    this.pending = recent.filter(loss => !confirmed.includes(loss));
    if (!this.isCutOff()) {
      confirmed.forEach(({upstream, suspect, phase, ageMilliseconds}) =>
        this.guard.recordCrash(upstream, suspect, phase, ageMilliseconds),
      );
    }
  }

  private isConfirmed({upstream, isConnectionEnded}: LostAnswer): boolean {
    const isGone =
      this.directory.find(upstream) === undefined ||
      this.guard.hasCrashed(upstream);
    return isGone || (isConnectionEnded && this.suspicions.isLost(upstream));
  }
}
