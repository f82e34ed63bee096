interface PendingChange {
  readonly dueAt: number;
  readonly isStored: boolean;
  readonly prefixKey: string;
}

/** LRU cache of prompt prefixes. Reports list its keys with a delay. */
export class PrefixCache {
  private readonly inputs = new Map<string, string>();
  private readonly reported = new Set<string>();
  private pending: PendingChange[] = [];

  constructor(
    private readonly limit: number,
    private readonly lagMilliseconds: number,
  ) {}

  /** Length in characters of the prefix that an input shares with the cached one; caches the input if there is none. */
  matchOrStore(prefixKey: string, input: string): number {
    const cached = this.inputs.get(prefixKey);
    if (cached !== undefined) {
      this.inputs.delete(prefixKey);
      this.inputs.set(prefixKey, cached);
      return commonLength(cached, input);
    }
    this.inputs.set(prefixKey, input);
    this.queueChange(prefixKey, true);
    this.evict();
    return 0;
  }

  clear(): void {
    this.inputs.clear();
    this.reported.clear();
  }

  /** The prefixes that were cached one lag before `now`. */
  reportedPrefixes(now: number): readonly string[] {
    const due = this.pending.filter(pending => pending.dueAt <= now);
    this.pending = this.pending.slice(due.length);
    for (const {isStored, prefixKey} of due) {
      if (isStored) {
        this.reported.add(prefixKey);
      } else {
        this.reported.delete(prefixKey);
      }
    }
    return [...this.reported];
  }

  private evict(): void {
    for (const prefixKey of this.inputs.keys()) {
      if (this.inputs.size <= this.limit) {
        return;
      }
      this.inputs.delete(prefixKey);
      this.queueChange(prefixKey, false);
    }
  }

  private queueChange(prefixKey: string, isStored: boolean): void {
    const dueAt = performance.now() + this.lagMilliseconds;
    this.pending.push({dueAt, isStored, prefixKey});
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
