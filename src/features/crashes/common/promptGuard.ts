import {Clock} from '../../../base/common/clock.js';
import {Emitter} from '../../../base/common/event.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {CrashEvidence, EvidenceListener} from './crashEvidence.js';
import {CrashRecord, EMPTY_RECORD} from './crashRecord.js';
import {CrashNews, CrashPhase, SuspectRequest} from './crashReport.js';
import {AccountPrompt, SuspectPart} from './suspectParts.js';

/**
 * Time after the last crash until one request is let through again, and its growth with each further crash. A model that was
 * repaired is found out soon, and one that was not costs few upstreams a day.
 */
const FIRST_TRIAL_MILLISECONDS = 60_000;
const TRIAL_GROWTH = 4;
const MAX_TRIAL_MILLISECONDS = 12 * 60 * 60_000;
const MOMENTS_AT_FIRST_TRIAL = 3;

/** Time until the result of a trial is known, before which there is no other one. */
const TRIAL_RESULT_MILLISECONDS = 30_000;

/** What may be done with a request. */
export type PromptVerdict =
  | {readonly kind: 'allowed'}
  /** Lets a request with a suspect part through to see whether it still makes upstreams crash. */
  | {readonly kind: 'trial'; readonly part: string}
  | {
      readonly kind: 'blocked';
      readonly part: string;
      /** Moments at which upstreams crashed under the part. */
      readonly crashes: number;
      readonly lastCrashMilliseconds: number;
    };

/** Decides which requests make upstreams crash, from what all instances have seen, and blocks them. */
export class PromptGuard extends DisposableOwner {
  private readonly suspected = this.register(new Emitter<void>());
  private readonly changed = this.register(new Emitter<void>());
  private readonly tried = this.register(new Emitter<void>());
  private readonly early: CrashEvidence;
  private readonly late: CrashEvidence;
  /** Of the late phase, too, with all parts of the prompts. */
  private readonly lateShared: CrashEvidence;
  private readonly trialAt = new Map<string, number>();

  /** Fires when upstreams have kept crashing under a further part. */
  readonly onDidSuspect = this.suspected.event;

  /** Fires when what must be recorded may have changed. */
  readonly onDidChange = this.changed.event;

  /** Fires when this instance lets a request through as a trial. */
  readonly onDidTry = this.tried.event;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly isEnabled: boolean,
    /** Whether this instance is the one that tries a part again. */
    private readonly isTrialOwner: (part: string) => boolean,
  ) {
    super();
    const listener: EvidenceListener = {
      onDidSuspect: () => this.suspected.fire(),
      onDidChange: () => this.changed.fire(),
    };
    this.early = new CrashEvidence(clock, logger, 'early', listener);
    this.late = new CrashEvidence(clock, logger, 'late', listener);
    this.lateShared = new CrashEvidence(clock, logger, 'lateShared', listener, {
      isSoundForGood: true,
    });
  }

  /** Number of remembered crashes. */
  get crashCount(): number {
    return this.early.crashCount + this.late.crashCount;
  }

  /** Number of parts under which upstreams keep crashing. */
  get suspectPartCount(): number {
    return this.early.suspectPartCount + this.late.suspectPartCount;
  }

  hasCrashed(upstream: string): boolean {
    return this.early.hasCrashed(upstream) || this.late.hasCrashed(upstream);
  }

  /**
   * Records a crash that this instance has seen, and a request that may have caused it. In the late phase the last part of its
   * prompt, which repeats of the request share with it, is held against it. The other parts are on many streams that are there by
   * chance, and these are answered too rarely while upstreams keep crashing; so they are judged apart, and only those under which
   * no request was ever answered whole.
   */
  recordCrash(
    upstream: string,
    suspect: SuspectRequest,
    phase: CrashPhase = 'early',
    ageMilliseconds = 0,
  ): void {
    const promptParts =
      phase === 'late' ? suspect.promptParts.slice(-1) : suspect.promptParts;
    if (phase === 'late') {
      const requests = [suspect];
      this.lateShared.recordCrash({upstream, ageMilliseconds, requests});
    }
    const requests = [{...suspect, promptParts}];
    if (this[phase].recordCrash({upstream, ageMilliseconds, requests})) {
      const fields = {upstream, phase, ...suspect};
      this.logger.decision('upstreamCrashed', fields);
    }
  }

  /** Records that a request was written for so long that its prompt ends no upstream early. */
  recordSound(promptParts: readonly string[]): void {
    this.early.recordSound(promptParts);
  }

  /** Records that a request was answered whole, so that its prompt can't be deadly. */
  recordAnswered(promptParts: readonly string[]): void {
    this.early.recordSound(promptParts);
    this.late.recordSound(promptParts);
    this.lateShared.recordSound(promptParts.slice(0, -1));
  }

  /** What may be done with a request now; a trial counts as begun. */
  admit(request: string, prompt: AccountPrompt): PromptVerdict {
    const verdict = this.judge(prompt);
    if (verdict.kind === 'trial') {
      this.trialAt.set(verdict.part, this.now());
      this.logger.decision('promptPartTried', {request, part: verdict.part});
      this.tried.fire();
    }
    return verdict;
  }

  /** What may be done with a request now. */
  judge(prompt: AccountPrompt): PromptVerdict {
    if (!this.isEnabled) {
      return {kind: 'allowed'};
    }
    const cause =
      this.early.findCause(prompt, this.late) ??
      this.late.findCause(prompt, this.early) ??
      this.lateShared.findCause(prompt, this.early);
    return cause === undefined ? {kind: 'allowed'} : this.judgeCause(cause);
  }

  /** Whether a crash had a cause that a prompt doesn't have. */
  isExplained(upstream: string, promptParts: readonly string[]): boolean {
    return (
      this.early.isExplained(upstream, promptParts) ||
      this.late.isExplained(upstream, promptParts)
    );
  }

  /** What a message to a peer tells of crashes. */
  createNews(): CrashNews {
    return {
      crashes: this.early.createExchange(),
      lateCrashes: this.late.createExchange(),
      lateSharedCrashes: this.lateShared.createExchange(),
    };
  }

  /** What the response to a message of a peer tells of crashes; with all reports if the peer lacks some. */
  createResponse({
    crashes,
    lateCrashes,
    lateSharedCrashes,
  }: CrashNews): CrashNews {
    return {
      crashes: this.early.createResponse(crashes),
      lateCrashes: this.late.createResponse(lateCrashes),
      lateSharedCrashes: this.lateShared.createResponse(lateSharedCrashes),
    };
  }

  /** Applies a message of a peer. */
  applyNews({crashes, lateCrashes, lateSharedCrashes}: CrashNews): void {
    if (!this.isEnabled) {
      return;
    }
    if (crashes !== undefined) {
      this.early.applyExchange(crashes);
    }
    if (lateCrashes !== undefined) {
      this.late.applyExchange(lateCrashes);
    }
    if (lateSharedCrashes !== undefined) {
      this.lateShared.applyExchange(lateSharedCrashes);
    }
  }

  /** What must outlast this process, in monotonic milliseconds. */
  createRecord(): CrashRecord {
    if (!this.isEnabled) {
      return EMPTY_RECORD;
    }
    return {
      early: this.early.createRecord(this.late),
      late: this.late.createRecord(this.early),
      lateShared: this.lateShared.createRecord(this.early),
      trials: [...this.trialAt].map(([part, at]) => ({part, at})),
    };
  }

  /** Adds what a record tells, in monotonic milliseconds. */
  applyRecord(record: CrashRecord): void {
    if (!this.isEnabled) {
      return;
    }
    if (record.forgottenUntil !== undefined) {
      this.forgetUntil(record.forgottenUntil);
    }
    this.early.applyRecord(record.early);
    this.late.applyRecord(record.late);
    this.lateShared.applyRecord(record.lateShared);
    for (const {part, at} of record.trials) {
      this.trialAt.set(part, Math.max(at, this.trialAt.get(part) ?? at));
    }
  }

  private forgetUntil(at: number): void {
    this.early.forgetUntil(at);
    this.late.forgetUntil(at);
    this.lateShared.forgetUntil(at);
    for (const [part, triedAt] of this.trialAt) {
      if (triedAt <= at) {
        this.trialAt.delete(part);
      }
    }
  }

  private judgeCause({part, moments, lastCrashAt}: SuspectPart): PromptVerdict {
    const now = this.now();
    const sinceCrash = now - lastCrashAt;
    const sinceTrial = now - (this.trialAt.get(part) ?? -Infinity);
    const isTrialDue =
      sinceCrash >= trialDelay(moments) &&
      sinceTrial >= TRIAL_RESULT_MILLISECONDS;
    if (isTrialDue && this.isTrialOwner(part)) {
      return {kind: 'trial', part};
    }
    return {
      kind: 'blocked',
      part,
      crashes: moments,
      lastCrashMilliseconds: Math.round(sinceCrash),
    };
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}

/** Milliseconds from the last crash until a part is tried again. */
function trialDelay(moments: number): number {
  const delay =
    FIRST_TRIAL_MILLISECONDS *
    TRIAL_GROWTH ** Math.max(0, moments - MOMENTS_AT_FIRST_TRIAL);
  return Math.min(delay, MAX_TRIAL_MILLISECONDS);
}
