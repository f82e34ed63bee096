import {Clock} from '../../../base/common/clock.js';
import {evictOldest} from '../../../base/common/evictOldest.js';
import {PartTime} from './crashRecord.js';
import {SoundPartReport} from './crashReport.js';

/** Time for which peers are told of a sound part; gossip reaches hundreds of instances in less. */
const NEWS_MILLISECONDS = 2_000;

/** Maximum parts that are remembered; those that were sound longest ago are forgotten first. */
const PART_LIMIT = 4_096;

/** Remembers when prompt parts were last shown to be sound. */
export class SoundParts {
  /** Monotonic milliseconds by part. */
  private readonly soundAt = new Map<string, number>();
  private anySoundAt = -Infinity;
  private changeCount = 0;

  constructor(private readonly clock: Clock) {}

  /** Increases with each change. */
  get version(): number {
    return this.changeCount;
  }

  /** When a request with a part was last written for long, in monotonic milliseconds; -Infinity if never. */
  lastSoundAt(part: string): number {
    return this.soundAt.get(part) ?? -Infinity;
  }

  /** When any request was last written for long, in monotonic milliseconds; -Infinity if never. */
  get lastAnySoundAt(): number {
    return this.anySoundAt;
  }

  record(part: string, ageMilliseconds: number): void {
    const at = this.now() - ageMilliseconds;
    if (at > this.lastSoundAt(part)) {
      this.soundAt.delete(part);
      this.soundAt.set(part, at);
      evictOldest(this.soundAt, PART_LIMIT);
      this.changeCount++;
    }
  }

  /** Records that some request was written for long, whatever its prompt. */
  recordAny(ageMilliseconds: number): void {
    const at = this.now() - ageMilliseconds;
    if (at > this.anySoundAt) {
      this.anySoundAt = at;
      this.changeCount++;
    }
  }

  /** Forgets the parts that the predicate rejects. */
  retain(isKept: (part: string) => boolean): void {
    for (const part of this.soundAt.keys()) {
      if (!isKept(part)) {
        this.soundAt.delete(part);
      }
    }
  }

  /** When each remembered part was last shown to be sound, in monotonic milliseconds. */
  get times(): readonly PartTime[] {
    return [...this.soundAt].map(([part, at]) => ({part, at}));
  }

  get news(): readonly SoundPartReport[] {
    return this.all.filter(
      ({ageMilliseconds}) => ageMilliseconds <= NEWS_MILLISECONDS,
    );
  }

  get all(): readonly SoundPartReport[] {
    const now = this.now();
    return [...this.soundAt].map(([part, at]) => ({
      part,
      ageMilliseconds: Math.max(0, Math.round(now - at)),
    }));
  }

  get anyAgeMilliseconds(): number | undefined {
    return this.anySoundAt === -Infinity
      ? undefined
      : Math.max(0, Math.round(this.now() - this.anySoundAt));
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}
