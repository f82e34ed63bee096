import {Clock} from '../../../base/common/clock.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {CrashHistory} from './crashHistory.js';
import {EvidenceRecord} from './crashRecord.js';
import {CrashExchange, CrashPhase, CrashReport} from './crashReport.js';
import {selectRecordedCrashes} from './recordedCrashes.js';
import {SoundParts} from './soundParts.js';
import {
  AccountPrompt,
  CRASHES_FOR_PROOF,
  SuspectPart,
  findCause,
  findSuspectParts,
  isExplained,
  likelyCauses,
} from './suspectParts.js';

/** Period at which sound prompts are taken into account while there are crashes. */
const SOUND_UPDATE_MILLISECONDS = 100;

/** Crashes from which on peers are told that a part is sound. A part of a single crash is far from being suspect. */
const CRASHES_FOR_SOUND_NEWS = 2;

/** Minimum time between two messages with all reports: peers may never agree on them if both have forgotten some. */
const FULL_EXCHANGE_PERIOD_MILLISECONDS = 200;

/** How an evidence judges. */
export interface EvidenceOptions {
  /** Whether a part that was ever sound is never suspect. */
  readonly isSoundForGood: boolean;
}

/** What happens to an evidence. */
export interface EvidenceListener {
  /** Upstreams have kept crashing under a further part. */
  readonly onDidSuspect: () => void;
  /** Other parts than before are suspect, or further upstreams have crashed while any is. */
  readonly onDidChange: () => void;
}

/** What all instances have seen of crashes in one phase, of sound parts, and which parts are suspect for it. */
export class CrashEvidence {
  private readonly history: CrashHistory;
  private readonly sound: SoundParts;
  private suspectParts: ReadonlyMap<string, SuspectPart> = new Map();
  private judgedVersion = '';
  private judgedCrashVersion = 0;
  private judgedAt = -Infinity;
  private fullExchangeAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    /** For the log. */
    private readonly phase: CrashPhase | 'lateShared',
    private readonly listener: EvidenceListener,
    private readonly options: EvidenceOptions = {isSoundForGood: false},
  ) {
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

  isSuspect(part: string): boolean {
    return this.suspectParts.has(part);
  }

  /** Records a crash with the requests that may have caused it; returns whether that is new. */
  recordCrash(report: CrashReport): boolean {
    const isNew = this.history.add(report);
    if (isNew) {
      this.update();
    }
    return isNew;
  }

  /** Records a request that shows that the parts of its prompt are sound. */
  recordSound(promptParts: readonly string[]): void {
    this.sound.recordAny(0);
    if (this.crashCount > 0 || this.options.isSoundForGood) {
      promptParts
        .filter(part => this.mustRemember(part))
        .forEach(part => this.sound.record(part, 0));
    }
    if (this.crashCount > 0) {
      const isRelease = promptParts.some(part => this.suspectParts.has(part));
      const isDue = this.now() - this.judgedAt >= SOUND_UPDATE_MILLISECONDS;
      if (isRelease || isDue) {
        this.update();
      }
    }
  }

  /** The part for which a prompt is held to be deadly; undefined if there is none. */
  findCause(
    prompt: AccountPrompt,
    otherPhase: CrashEvidence,
  ): SuspectPart | undefined {
    if (!prompt.promptParts.some(part => this.isSuspect(part))) {
      return undefined;
    }
    const otherCauses = likelyCauses(
      otherPhase.suspectParts,
      prompt.promptParts,
    );
    return findCause(this.suspectParts, prompt, otherCauses);
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
      soundParts: this.sound.all.filter(
        ({part}) => this.history.crashCountOf(part) > 0,
      ),
    };
  }

  /** Applies a message of a peer. */
  applyExchange(exchange: CrashExchange): void {
    exchange.reports.forEach(report => this.history.add(report));
    exchange.soundParts.forEach(({part, ageMilliseconds}) =>
      this.sound.record(part, ageMilliseconds),
    );
    if (exchange.soundAgeMilliseconds !== undefined) {
      this.sound.recordAny(exchange.soundAgeMilliseconds);
    }
    this.update();
  }

  /**
   * What must outlast this process, in monotonic milliseconds: the crashes under prompts that are held to be deadly, and when their
   * parts were sound.
   */
  createRecord(otherPhase: CrashEvidence): EvidenceRecord {
    const crashes = selectRecordedCrashes(
      this.history.crashes,
      suspect => this.findCause(suspect, otherPhase) !== undefined,
      part => this.suspectParts.get(part)?.crashes.length ?? 0,
    );
    const {lastAnySoundAt} = this.sound;
    return {
      crashes,
      soundParts: this.sound.times.filter(
        ({part}) =>
          this.options.isSoundForGood ||
          this.history.crashCountOf(part) >= CRASHES_FOR_PROOF,
      ),
      ...(lastAnySoundAt > -Infinity && {anySoundAt: lastAnySoundAt}),
    };
  }

  /** Adds what a record tells, in monotonic milliseconds. */
  applyRecord({crashes, soundParts, anySoundAt}: EvidenceRecord): void {
    const now = this.now();
    const ageOf = (at: number): number => Math.max(0, now - at);
    this.applyExchange({
      digest: 0,
      reports: crashes.map(({upstream, at, requests}) => ({
        upstream,
        ageMilliseconds: ageOf(at),
        requests,
      })),
      soundParts: soundParts.map(({part, at}) => ({
        part,
        ageMilliseconds: ageOf(at),
      })),
      soundAgeMilliseconds:
        anySoundAt === undefined ? undefined : ageOf(anySoundAt),
    });
  }

  /** Forgets the crashes until a moment, in monotonic milliseconds, also those that peers tell later. */
  forgetUntil(at: number): void {
    this.history.forgetUntil(at);
    this.update();
  }

  /** Whether it matters when a part was sound. */
  private mustRemember(part: string): boolean {
    return this.options.isSoundForGood || this.history.crashCountOf(part) > 0;
  }

  /** Number of crashes for which a part may be the cause. */
  private countCrashes(part: string): number {
    const isSound =
      this.options.isSoundForGood && this.sound.lastSoundAt(part) > -Infinity;
    return isSound ? 0 : this.history.crashCountOf(part);
  }

  /** Finds the suspect parts again if anything changed, and logs those that are new or no longer suspect. */
  private update(): void {
    this.history.removeExpired();
    const version = `${this.history.version} ${this.sound.version}`;
    if (version === this.judgedVersion) {
      return;
    }
    const hasCrashed = this.judgedCrashVersion !== this.history.version;
    this.judgedVersion = version;
    this.judgedCrashVersion = this.history.version;
    this.judgedAt = this.now();
    this.sound.retain(part => this.mustRemember(part));
    const before = this.suspectParts;
    this.suspectParts = findSuspectParts(
      this.history.crashes,
      this.sound,
      part => this.countCrashes(part),
    );
    const hasChanged = this.logChanges(before);
    if (hasChanged || (hasCrashed && this.suspectPartCount > 0)) {
      this.listener.onDidChange();
    }
  }

  /** Returns whether other parts are suspect than before. */
  private logChanges(before: ReadonlyMap<string, SuspectPart>): boolean {
    const {phase} = this;
    const cleared = [...before.keys()].filter(
      part => !this.suspectParts.has(part),
    );
    for (const part of cleared) {
      this.logger.decision('promptPartCleared', {part, phase});
    }
    const added = [...this.suspectParts.values()].filter(
      ({part}) => !before.has(part),
    );
    for (const {part, crashes, moments} of added) {
      const upstreams = crashes.map(({upstream}) => upstream);
      const fields = {part, phase, moments, upstreams};
      this.logger.decision('promptPartSuspected', fields);
    }
    if (added.length > 0) {
      this.listener.onDidSuspect();
    }
    return cleared.length + added.length > 0;
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}
