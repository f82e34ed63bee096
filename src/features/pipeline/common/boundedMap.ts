/** A map that forgets its least recently used entry when it is full. */
export class BoundedMap<Key, Value> {
  private readonly entries = new Map<Key, Value>();

  constructor(private readonly limit: number) {}

  get size(): number {
    return this.entries.size;
  }

  /** Finds an entry without making it recent. */
  get(key: Key): Value | undefined {
    return this.entries.get(key);
  }

  /** Finds or makes an entry and makes it the most recent. */
  obtain(key: Key, make: () => Value): Value {
    const value = this.entries.get(key) ?? make();
    this.entries.delete(key);
    this.entries.set(key, value);
    if (this.entries.size > this.limit) {
      this.entries.delete(this.entries.keys().next().value as Key);
    }
    return value;
  }
}
