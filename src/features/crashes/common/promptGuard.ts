import {Clock} from '../../../base/common/clock.js';
import {Emitter} from '../../../base/common/event.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {CrashHistory} from './crashHistory.js';
import {CrashExchange, SuspectRequest} from './crashReport.js';
import {
  AccountPrompt,
  SuspectPart,
  findCause,
  findSuspectParts,
  isExplained,
} from './suspectParts.js';
import {SoundParts} from './soundParts.js';

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

/** Period at which sound prompts are taken into account while there are crashes. */
const SOUND_UPDATE_MILLISECONDS = 100;

/** Crashes from which on peers are told that a part is sound. A part of a single crash is far from being suspect. */
const CRASHES_FOR_SOUND_NEWS = 2;

/** Minimum time between two messages with all reports: peers may never agree on them if both have forgotten some. */
const FULL_EXCHANGE_PERIOD_MILLISECONDS = 200;

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
  private readonly history: CrashHistory;
  private readonly sound: SoundParts;
  private readonly trialAt = new Map<string, number>();
  private suspectParts: ReadonlyMap<string, SuspectPart> = new Map();
  private judgedVersion = '';
  private judgedAt = -Infinity;
  private fullExchangeAt = -Infinity;

  /** Fires when upstreams have kept crashing under a further part. */
  readonly onDidSuspect = this.suspected.event;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly isEnabled: boolean,
    /** Whether this instance is the one that tries a part again. */
    private readonly isTrialOwner: (part: string) => boolean,
  ) {
    super();
    this.history = new CrashHistory(clock);
    this.sound = new SoundParts(clock);
  }

  /** Number of remembered crashes. */
  get crashCount(): number {
    return this.history.size;
  }

  /** Number of parts under which upstreams keep crashing. */
  get suspectPartCount(): number {
    return this.suspectParts.size;
  }

  hasCrashed(upstream: string): boolean {
    return this.history.has(upstream);
  }

  /** Records a crash that this instance has seen, and a request that may have caused it. */
  recordCrash(upstream: string, suspect: SuspectRequest): void {
    const isNew = this.history.add({
      upstream,
      ageMilliseconds: 0,
      requests: [suspect],
    });
    if (isNew) {
      this.logger.decision('upstreamCrashed', {upstream, ...suspect});
      this.update();
    }
  }

  /** Records that a request was written for so long that its prompt can't be deadly. */
  recordSound(promptParts: readonly string[]): void {
    this.sound.recordAny(0);
    if (this.crashCount > 0) {
      promptParts
        .filter(part => this.hasCrashes(part))
        .forEach(part => this.sound.record(part, 0));
      const isRelease = promptParts.some(part => this.suspectParts.has(part));
      const isDue = this.now() - this.judgedAt >= SOUND_UPDATE_MILLISECONDS;
      if (isRelease || isDue) {
        this.update();
      }
    }
  }

  /** What may be done with a request now; a trial counts as begun. */
  admit(request: string, prompt: AccountPrompt): PromptVerdict {
    const verdict = this.judge(prompt);
    if (verdict.kind === 'trial') {
      this.trialAt.set(verdict.part, this.now());
      this.logger.decision('promptPartTried', {request, part: verdict.part});
    }
    return verdict;
  }

  /** What may be done with a request now. */
  judge(prompt: AccountPrompt): PromptVerdict {
    const cause =
      this.isEnabled && this.suspectParts.size > 0
        ? findCause(this.suspectParts, prompt)
        : undefined;
    return cause === undefined ? {kind: 'allowed'} : this.judgeCause(cause);
  }

  /** Whether a crash had a cause that a prompt doesn't have. */
  isExplained(upstream: string, promptParts: readonly string[]): boolean {
    return isExplained(this.suspectParts, upstream, promptParts);
  }

  /** A message for peers; undefined while there is nothing to tell. */
  createExchange(): CrashExchange | undefined {
    if (this.crashCount === 0) {
      return undefined;
    }
    return {
      digest: this.history.digest,
      reports: this.history.news,
      soundParts: this.sound.news.filter(
        ({part}) => this.history.crashCountOf(part) >= CRASHES_FOR_SOUND_NEWS,
      ),
      soundAgeMilliseconds: this.sound.anyAgeMilliseconds,
    };
  }

  /** The response to a message of a peer; with all reports if the peer lacks some. */
  createResponse(
    received: CrashExchange | undefined,
  ): CrashExchange | undefined {
    const exchange = this.createExchange();
    const now = this.now();
    const isDue =
      now - this.fullExchangeAt >= FULL_EXCHANGE_PERIOD_MILLISECONDS;
    if (
      exchange === undefined ||
      received?.digest === exchange.digest ||
      !isDue
    ) {
      return exchange;
    }
    this.fullExchangeAt = now;
    return {
      ...exchange,
      reports: this.history.all,
      soundParts: this.sound.all,
    };
  }

  /** Applies a message of a peer. */
  applyExchange(exchange: CrashExchange | undefined): void {
    if (!this.isEnabled || exchange === undefined) {
      return;
    }
    exchange.reports.forEach(report => this.history.add(report));
    exchange.soundParts.forEach(({part, ageMilliseconds}) =>
      this.sound.record(part, ageMilliseconds),
    );
    if (exchange.soundAgeMilliseconds !== undefined) {
      this.sound.recordAny(exchange.soundAgeMilliseconds);
    }
    this.update();
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

  private hasCrashes(part: string): boolean {
    return this.history.crashCountOf(part) > 0;
  }

  /** Finds the suspect parts again if anything changed, and logs those that are new or no longer suspect. */
  private update(): void {
    this.history.removeExpired();
    const version = `${this.history.version} ${this.sound.version}`;
    if (version === this.judgedVersion) {
      return;
    }
    this.judgedVersion = version;
    this.judgedAt = this.now();
    this.sound.retain(part => this.hasCrashes(part));
    const before = this.suspectParts;
    this.suspectParts = findSuspectParts(
      this.history.crashes,
      this.sound,
      part => this.history.crashCountOf(part),
    );
    this.logChanges(before);
  }

  private logChanges(before: ReadonlyMap<string, SuspectPart>): void {
    for (const part of before.keys()) {
      if (!this.suspectParts.has(part)) {
        this.trialAt.delete(part);
        this.logger.decision('promptPartCleared', {part});
      }
    }
    const added = [...this.suspectParts.values()].filter(
      ({part}) => !before.has(part),
    );
    for (const {part, crashes, moments} of added) {
      const upstreams = crashes.map(({upstream}) => upstream);
      this.logger.decision('promptPartSuspected', {part, moments, upstreams});
    }
    if (added.length > 0) {
      this.suspected.fire();
    }
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
