/** A change of the prefix cache. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly prefixKey: string;
}

interface PendingEvent {
  readonly dueAt: number;
  readonly event: CacheEvent;
}

const PUBLISHED_LIMIT = 256;

/** Lost evictions would let the announced prefixes grow without end. */
const ANNOUNCED_PER_CACHED = 4;

/** How late and with what gaps events come out. */
export interface CacheEventSettings {
  readonly lagMilliseconds: number;
  readonly lossEvery: number;
}

/** The prefixes an engine remembers, and what it tells of them: late and with gaps. */
export class PrefixCache {
  private readonly inputs = new Map<string, string>();
  private readonly announced = new Set<string>();
  private pending: PendingEvent[] = [];
  private published: CacheEvent[] = [];
  private sequence = 0;

  constructor(
    private readonly limit: number,
    private readonly settings: CacheEventSettings,
  ) {}

  /** Characters that an input shares with the one remembered under its prefix; remembers it. */
  use(prefixKey: string, input: string): number {
    const known = this.inputs.get(prefixKey);
    if (known !== undefined) {
      this.inputs.delete(prefixKey);
      this.inputs.set(prefixKey, known);
      return commonLength(known, input);
    }
    this.inputs.set(prefixKey, input);
    this.record('stored', prefixKey);
    this.evict();
    return 0;
  }

  clear(): void {
    this.inputs.clear();
    this.announced.clear();
  }

  /** Prefixes as its events so far tell. */
  announcedPrefixes(now: number): readonly string[] {
    this.publish(now);
    return [...this.announced];
  }

  /** Events after a sequence number, of those still kept. */
  eventsAfter(sequence: number, now: number): readonly CacheEvent[] {
    this.publish(now);
    return this.published.filter(event => event.sequence > sequence);
  }

  private evict(): void {
    for (const prefixKey of this.inputs.keys()) {
      if (this.inputs.size <= this.limit) {
        return;
      }
      this.inputs.delete(prefixKey);
      this.record('evicted', prefixKey);
    }
  }

  private record(kind: CacheEvent['kind'], prefixKey: string): void {
    this.sequence++;
    const {lossEvery, lagMilliseconds} = this.settings;
    if (lossEvery > 0 && this.sequence % lossEvery === 0) {
      return;
    }
    const event = {sequence: this.sequence, kind, prefixKey};
    this.pending.push({dueAt: performance.now() + lagMilliseconds, event});
  }

  private publish(now: number): void {
    const due = this.pending.filter(pending => pending.dueAt <= now);
    this.pending = this.pending.slice(due.length);
    for (const {event} of due) {
      this.published.push(event);
      if (event.kind === 'stored') {
        this.announced.add(event.prefixKey);
      } else {
        this.announced.delete(event.prefixKey);
      }
    }
    this.published = this.published.slice(-PUBLISHED_LIMIT);
    for (const prefixKey of this.announced) {
      if (this.announced.size <= this.limit * ANNOUNCED_PER_CACHED) {
        return;
      }
      this.announced.delete(prefixKey);
    }
  }
}

function commonLength(left: string, right: string): number {
  const limit = Math.min(left.length, right.length);
  let length = 0;
  while (length < limit && left[length] === right[length]) {
    length++;
  }
  return length;
}
