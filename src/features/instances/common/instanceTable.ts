import {Clock} from '../../../base/common/clock.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {listAgeLimit, readerFor} from './listReader.js';
import {InstanceNews, InstanceRecord, InstanceState} from './instance.js';

/**
 * An instance that was not heard of for this long is not named to callers: news goes round in two or
 * three exchanges of 400 ms, and one may be lost.
 */
const SILENT_MILLISECONDS = 1_600;

/** An instance that was not heard of for this long is forgotten. */
const FORGOTTEN_MILLISECONDS = 30_000;

interface Known {
  readonly news: InstanceNews;
  /** Monotonic milliseconds at which the beat grew. */
  readonly heardAt: number;
  readonly isUnreachable: boolean;
}

/** Which run of a peer answered, and when it was asked. */
interface PeerAnswer {
  readonly startedAt: number;
  readonly askedAt: number;
}

/** Which instances there are and what each can do, from what they tell each other. */
export class InstanceTable {
  private readonly others = new Map<string, Known>();
  /** The last answer of each peer. */
  private readonly answers = new Map<string, PeerAnswer>();
  private beat = 0;
  private ownState: InstanceState = 'unready';

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly own: InstanceRecord,
  ) {}

  /** What this instance tells of itself; each call is a new beat. */
  nextNews(): InstanceNews {
    this.beat++;
    return {record: this.own, state: this.ownState, beat: this.beat};
  }

  get state(): InstanceState {
    return this.ownState;
  }

  set state(state: InstanceState) {
    if (state !== this.ownState) {
      this.logger.decision('ownStateChanged', {before: this.ownState, state});
      this.ownState = state;
    }
  }

  /** Takes news that a peer passed on; older news changes nothing. */
  hear(news: InstanceNews): void {
    const {name, startedAt} = news.record;
    if (name === this.own.name) {
      return;
    }
    const known = this.others.get(name);
    if (known !== undefined && !isNewer(news, known.news)) {
      return;
    }
    if (
      known?.news.state !== news.state ||
      known?.news.record.startedAt !== startedAt
    ) {
      this.logger.decision('peerChanged', {
        peer: name,
        before: known?.news.state,
        state: news.state,
        address: news.record.callerAddress,
      });
    }
    const heardAt = this.clock.monotonicMilliseconds();
    this.others.set(name, {news, heardAt, isUnreachable: false});
  }

  /** Takes an instance from a list that says nothing of its state. */
  learn(record: InstanceRecord): void {
    const known = this.others.get(record.name);
    if (
      record.name !== this.own.name &&
      (known === undefined || known.news.record.startedAt < record.startedAt)
    ) {
      const heardAt = -Infinity;
      const news: InstanceNews = {record, state: 'unready', beat: 0};
      this.others.set(record.name, {news, heardAt, isUnreachable: false});
    }
  }

  /** A peer could not be reached: it is not named until it is heard of again. */
  noteUnreachable(name: string): void {
    const known = this.others.get(name);
    if (known !== undefined && !known.isUnreachable) {
      this.others.set(name, {...known, isUnreachable: true});
      this.logger.decision('peerUnreachable', {peer: name});
    }
  }

  /** A peer answered a question that was sent at a monotonic time: this run of it was alive then. */
  noteAnswer({name, startedAt}: InstanceRecord, askedAt: number): void {
    this.answers.set(name, {startedAt, askedAt});
  }

  /**
   * Whether a run of an instance that was active up to a monotonic time has surely ended: there is one
   * process on an instance, and another run answered a later question. Starts are only compared for
   * being equal, since wall clocks jump.
   */
  hasEnded(name: string, startedAt: number, activeUntil: number): boolean {
    if (name === this.own.name) {
      return startedAt !== this.own.startedAt;
    }
    const answer = this.answers.get(name);
    return (
      answer !== undefined &&
      answer.startedAt !== startedAt &&
      answer.askedAt > activeUntil
    );
  }

  /** Peers to exchange news with, stopping and silent ones included until they are forgotten. */
  get peers(): readonly InstanceRecord[] {
    this.forgetOld();
    return [...this.others.values()].map(({news}) => news.record);
  }

  /** News to pass on: this instance's and that of all that were heard of lately. */
  get allNews(): readonly InstanceNews[] {
    const others = [...this.others.values()].filter(known =>
      this.isHeard(known),
    );
    return [this.nextNews(), ...others.map(({news}) => news)];
  }

  /** Instances that serve callers now, this one included when it does. */
  get serving(): readonly InstanceRecord[] {
    const others = [...this.others.values()]
      .filter(
        known =>
          known.news.state === 'serving' &&
          !known.isUnreachable &&
          this.isHeard(known),
      )
      .map(({news}) => news.record);
    return this.ownState === 'serving' ? [this.own, ...others] : others;
  }

  /** The instance that reads the list of upstreams for this one; undefined while none serves. */
  get reader(): string | undefined {
    return readerFor(
      this.own.name,
      this.serving.map(({name}) => name),
    );
  }

  /** Milliseconds for which this instance may go without reading the list of upstreams. */
  get listAgeLimit(): number {
    return listAgeLimit(this.own.name, this.reader);
  }

  /** Instances that share bounds over all instances: this one and each known other. */
  get size(): number {
    return this.others.size + 1;
  }

  private isHeard({heardAt}: Known): boolean {
    return this.clock.monotonicMilliseconds() - heardAt < SILENT_MILLISECONDS;
  }

  private forgetOld(): void {
    const now = this.clock.monotonicMilliseconds();
    for (const [name, {heardAt}] of this.others) {
      if (heardAt > 0 && now - heardAt > FORGOTTEN_MILLISECONDS) {
        this.others.delete(name);
        this.answers.delete(name);
      }
    }
  }
}

function isNewer(news: InstanceNews, known: InstanceNews): boolean {
  const {startedAt} = news.record;
  return startedAt === known.record.startedAt
    ? news.beat > known.beat
    : startedAt > known.record.startedAt;
}
