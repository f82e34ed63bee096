interface PendingChange {
  readonly dueAt: number;
  readonly isStored: boolean;
  readonly prefixKey: string;
}

/** The prefixes an engine remembers, and those that its reports name, which lag behind. */
export class PrefixCache {
  private readonly inputs = new Map<string, string>();
  private readonly announced = new Set<string>();
  private pending: PendingChange[] = [];

  constructor(
    private readonly limit: number,
    private readonly lagMilliseconds: number,
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
    this.note(prefixKey, true);
    this.evict();
    return 0;
  }

  clear(): void {
    this.inputs.clear();
    this.announced.clear();
  }

  /** The prefixes that were remembered one lag ago. */
  announcedPrefixes(now: number): readonly string[] {
    const due = this.pending.filter(pending => pending.dueAt <= now);
    this.pending = this.pending.slice(due.length);
    for (const {isStored, prefixKey} of due) {
      if (isStored) {
        this.announced.add(prefixKey);
      } else {
        this.announced.delete(prefixKey);
      }
    }
    return [...this.announced];
  }

  private evict(): void {
    for (const prefixKey of this.inputs.keys()) {
      if (this.inputs.size <= this.limit) {
        return;
      }
      this.inputs.delete(prefixKey);
      this.note(prefixKey, false);
    }
  }

  private note(prefixKey: string, isStored: boolean): void {
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
