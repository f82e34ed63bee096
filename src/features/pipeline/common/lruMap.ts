/** A map of limited size that evicts the least recently used entry. */
export class LruMap<Key, Value> {
  private readonly entries = new Map<Key, Value>();

  constructor(private readonly limit: number) {}

  get size(): number {
    return this.entries.size;
  }

  /** Returns an entry without marking it as used. */
  get(key: Key): Value | undefined {
    return this.entries.get(key);
  }

  /** Returns an entry, creates it if needed and marks it as most recently used. */
  getOrCreate(key: Key, create: () => Value): Value {
    const value = this.entries.get(key) ?? create();
    this.entries.delete(key);
    this.entries.set(key, value);
    if (this.entries.size > this.limit) {
      this.entries.delete(this.entries.keys().next().value as Key);
    }
    return value;
  }
}
