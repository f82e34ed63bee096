import {REQUEST_END_LIMIT} from '../../crashes/common/requestLosses.js';
import {CrashPhase} from '../../crashes/common/crashReport.js';
import {StreamLoss, StreamLosses} from '../../crashes/common/streamLosses.js';
import {
  AccountPrompt,
  SOUND_WRITING_MILLISECONDS,
} from '../../crashes/common/suspectParts.js';
import {EndProof} from '../../fleet/common/endedUpstreams.js';
import {NotRunReason} from '../common/retryAfter.js';
import {ForwardingServices} from './forwardingServices.js';
import {AdmittedRequest} from './admittedRequest.js';
import {RequestLossWatch} from './requestLossWatch.js';
import {StreamAttempt} from './streamAttempt.js';

/** Period at which a running stream shows that its prompt is sound. */
const SOUND_PERIOD_MILLISECONDS = 100;

/** Part of a request's identifier that peers are told; callers choose its length. */
const REQUEST_ID_CHARACTERS = 64;

/** A loss that was recorded for an attempt. */
interface RecordedLoss {
  readonly attempt: StreamAttempt | undefined;
  readonly isConnectionEnded: boolean;
}

/** What is known of an upstream that a stream has lost, for the log. */
export interface LostUpstream {
  readonly upstream: string;
  /** Milliseconds for which it had been writing; 0 before its first event. */
  readonly writing: number;
  readonly sign: 'connectionEnded' | 'suspected';
  /** Whether it has ended: certainly, as far as this instance knows, or not. */
  readonly end: EndProof | 'likely' | 'unknown';
  /** Whether it counts against the number of upstreams that may end under the request. */
  readonly counts: boolean;
  /** Whether another request's prompt is known to make upstreams crash, and was there. */
  readonly isExplained: boolean;
}

/** Watches whether upstreams end under one stream, and reports what shows that its prompt is deadly or sound. */
export class PromptWatch {
  private readonly losses = new StreamLosses();
  private soundAt = -Infinity;
  private lastLoss: RecordedLoss | undefined;

  constructor(
    private readonly services: ForwardingServices,
    private readonly admitted: AdmittedRequest,
    private readonly lossWatch: RequestLossWatch,
  ) {}

  /** Why the request must not be sent now; undefined if it may be sent. */
  findObstacle(): NotRunReason | undefined {
    const {id} = this.admitted;
    if (this.mustNotBeResent) {
      const {history: lostBefore} = this;
      const {endedUpstreams: ended} = this.lossWatch;
      const kind = 'upstreamsEnded';
      this.logDecision('requestBlocked', {kind, ended, lostBefore});
      return 'endsUpstreams';
    }
    const verdict = this.services.promptGuard.admit(id, this.prompt);
    if (verdict.kind !== 'blocked') {
      return undefined;
    }
    this.logDecision('requestBlocked', verdict);
    return 'endsUpstreams';
  }

  /** Whether the request is known to make upstreams crash. */
  get isBlocked(): boolean {
    return (
      this.mustNotBeResent ||
      this.services.promptGuard.judge(this.prompt).kind === 'blocked'
    );
  }

  /** Whether so many upstreams may have ended under the request, at any instance, that it must not be sent again. */
  get mustNotBeResent(): boolean {
    return this.lossWatch.isBlocked;
  }

  /** Whether it depends on proofs for the upstreams that were lost if the request may be sent again. */
  get dependsOnProofs(): boolean {
    return this.losses.count >= REQUEST_END_LIMIT || this.mustNotBeResent;
  }

  /** The upstreams that were lost, and what is known of them now. */
  get history(): readonly LostUpstream[] {
    const {crashDetector, endedUpstreams, promptGuard} = this.services;
    const counted = new Set(this.lossWatch.endedUpstreams);
    const {promptParts} = this.prompt;
    return this.losses.all.map(({upstream, ...loss}) => ({
      upstream,
      writing: Math.round(loss.writingMilliseconds),
      sign: loss.isConnectionEnded ? 'connectionEnded' : 'suspected',
      end:
        endedUpstreams.proofOf(upstream) ??
        (crashDetector.hasEnded(upstream) ? 'likely' : 'unknown'),
      counts: counted.has(upstream),
      isExplained: promptGuard.isExplained(upstream, promptParts),
    }));
  }

  /** Records that an attempt was given up at an upstream that may still run. */
  recordLeft(upstream: string): void {
    void this.lossWatch.record(upstream, 'left');
  }

  /** Records the loss of the upstream to which an attempt was sent; resolves when peers know of it as far as they need to. */
  async recordLoss(
    upstream: string,
    attempt: StreamAttempt | undefined,
    isConnectionEnded: boolean,
  ): Promise<void> {
    // A stream that can start nowhere else is told of the same loss repeatedly.
    const isRepeated =
      this.lastLoss?.attempt === attempt &&
      this.lastLoss?.isConnectionEnded === isConnectionEnded;
    if (isRepeated) {
      return;
    }
    this.lastLoss = {attempt, isConnectionEnded};
    const writingMilliseconds = attempt?.writingMilliseconds ?? 0;
    if (!isConnectionEnded) {
      const writing = Math.round(writingMilliseconds);
      this.logDecision('firstUpstreamSuspected', {upstream, writing});
    }
    const wasWritten =
      writingMilliseconds >= SOUND_WRITING_MILLISECONDS ||
      this.soundAt > -Infinity;
    const phase: CrashPhase = wasWritten ? 'late' : 'early';
    const at = this.services.clock.monotonicMilliseconds();
    const loss = {upstream, isConnectionEnded, writingMilliseconds, phase, at};
    const announced = this.lossWatch.record(upstream, 'lost');
    this.losses
      .record(loss, this.lossWatch.endedUpstreams.length)
      .forEach(reported => this.report(reported));
    await announced;
  }

  /** Reports a loss that may show that the prompt is deadly. */
  private report({upstream, isConnectionEnded, phase, at}: StreamLoss): void {
    const {account, promptParts} = this.prompt;
    if (promptParts.length > 0) {
      this.services.crashDetector.recordLoss({
        upstream,
        isConnectionEnded,
        suspect: {
          request: this.admitted.id.slice(0, REQUEST_ID_CHARACTERS),
          account,
          promptParts,
        },
        phase,
        ageMilliseconds: this.services.clock.monotonicMilliseconds() - at,
      });
    }
  }

  /** Records events of an attempt. */
  recordEvents(attempt: StreamAttempt): void {
    if ((attempt.writingMilliseconds ?? 0) >= SOUND_WRITING_MILLISECONDS) {
      this.recordSound();
    }
  }

  /** Records that the request has been answered whole. */
  recordAnswered(): void {
    this.services.promptGuard.recordAnswered(this.prompt.promptParts);
  }

  /** Records that the request has been written for long. */
  private recordSound(): void {
    const now = this.services.clock.monotonicMilliseconds();
    if (now - this.soundAt >= SOUND_PERIOD_MILLISECONDS) {
      this.soundAt = now;
      this.services.promptGuard.recordSound(this.prompt.promptParts);
    }
  }

  private logDecision(
    decision: string,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    const request = this.admitted.id;
    this.services.logger.decision(decision, {request, ...fields});
  }

  private get prompt(): AccountPrompt {
    const {account, facts} = this.admitted;
    return {account: account ?? '', promptParts: facts.promptParts};
  }
}
