import {StreamLoss, StreamLosses} from '../../crashes/common/streamLosses.js';
import {
  AccountPrompt,
  SOUND_WRITING_MILLISECONDS,
} from '../../crashes/common/suspectParts.js';
import {EndProof} from '../../fleet/common/endedUpstreams.js';
import {NotRunReason} from '../common/retryAfter.js';
import {ForwardingServices} from './forwardingServices.js';
import {AdmittedRequest} from './requestForwarder.js';
import {StreamAttempt} from './streamAttempt.js';

/** Period at which a running stream shows that its prompt is sound. */
const SOUND_PERIOD_MILLISECONDS = 100;

/** Part of a request's identifier that peers are told; callers choose its length. */
const REQUEST_ID_CHARACTERS = 64;

/** Upstreams that may end under one request, however long they had been writing it. */
const ENDED_UPSTREAM_LIMIT = 3;

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
}

/** Watches whether upstreams end under one stream, and reports what shows that its prompt is deadly or sound. */
export class PromptWatch {
  private readonly losses = new StreamLosses();
  private soundAt = -Infinity;
  private lastLoss: RecordedLoss | undefined;

  constructor(
    private readonly services: ForwardingServices,
    private readonly admitted: AdmittedRequest,
  ) {}

  /** Why the request must not be sent now; undefined if it may be sent. */
  findObstacle(): NotRunReason | undefined {
    const {id} = this.admitted;
    const endedCount = this.endedUnderRequest.length;
    if (endedCount >= ENDED_UPSTREAM_LIMIT && this.hasProvedEnd) {
      const {history: lostBefore} = this;
      this.logDecision('requestBlocked', {kind: 'upstreamsEnded', lostBefore});
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
    return this.services.promptGuard.judge(this.prompt).kind === 'blocked';
  }

  /** Whether one more loss would use up the number of upstreams that may end under the request. */
  get isLastLoss(): boolean {
    return this.losses.count >= ENDED_UPSTREAM_LIMIT;
  }

  /** The upstreams that were lost, and what is known of them now. */
  get history(): readonly LostUpstream[] {
    const {crashDetector, endedUpstreams} = this.services;
    const counted = new Set(this.endedUnderRequest);
    return this.losses.all.map(({upstream, ...loss}) => ({
      upstream,
      writing: Math.round(loss.writingMilliseconds),
      sign: loss.isConnectionEnded ? 'connectionEnded' : 'suspected',
      end:
        endedUpstreams.proofOf(upstream) ??
        (crashDetector.hasEnded(upstream) ? 'likely' : 'unknown'),
      counts: counted.has(upstream),
    }));
  }

  /** Crashes that this instance knows of, of upstreams that had a request with the same last prompt part. */
  get knownCrashCount(): number {
    const lastPart = this.prompt.promptParts.at(-1);
    return lastPart === undefined
      ? 0
      : this.services.promptGuard.crashCountOf(lastPart);
  }

  /** Records the loss of the upstream to which an attempt was sent. */
  recordLoss(
    upstream: string,
    attempt: StreamAttempt | undefined,
    isConnectionEnded: boolean,
  ): void {
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
    const phase = wasWritten ? 'late' : 'early';
    const at = this.services.clock.monotonicMilliseconds();
    this.losses
      .record({upstream, isConnectionEnded, writingMilliseconds, phase, at})
      .forEach(loss => this.report(loss));
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

  /** Upstreams that have ended under the request, but for those that ended for another request's prompt. */
  private get endedUnderRequest(): readonly string[] {
    const {crashDetector, endedUpstreams, promptGuard} = this.services;
    const {promptParts} = this.prompt;
    return this.lostUpstreams.filter(
      id =>
        (crashDetector.hasEnded(id) || endedUpstreams.hasEnded(id)) &&
        !promptGuard.isExplained(id, promptParts),
    );
  }

  /** Whether an upstream has certainly ended under the request. If none has, links of this instance may be lost. */
  private get hasProvedEnd(): boolean {
    const {endedUpstreams} = this.services;
    return this.lostUpstreams.some(id => endedUpstreams.hasEnded(id));
  }

  private get lostUpstreams(): readonly string[] {
    return this.losses.all.map(({upstream}) => upstream);
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
