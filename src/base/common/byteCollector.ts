import {MemoryHold} from './memoryBudget.js';

const INITIAL_BYTES = 1_024;

/** A buffer up to this size is used again after it was cleared. */
const REUSED_BYTES = 16 * 1_024;

const EMPTY = new Uint8Array(0);

/**
 * Collects received bytes in one buffer that grows. A list of chunks would cost far more than its bytes where they arrive one by one,
 * since each chunk is an object of its own.
 */
export class ByteCollector {
  private buffer = EMPTY;
  private used = 0;

  /** @param hold accounts the size of the buffer; its owner disposes of it */
  constructor(private readonly hold: MemoryHold) {}

  /** Number of collected bytes. */
  get size(): number {
    return this.used;
  }

  /** Appends bytes; returns false if the memory for them was refused. */
  append(bytes: Uint8Array): boolean {
    const size = this.used + bytes.length;
    if (size > this.buffer.length && !this.grow(size)) {
      return false;
    }
    this.buffer.set(bytes, this.used);
    this.used = size;
    return true;
  }

  /** The collected bytes; valid until more are appended. */
  get bytes(): Uint8Array {
    return this.buffer.subarray(0, this.used);
  }

  /** Returns the collected bytes in a buffer of their own size, for which they are accounted from now on. */
  take(): Uint8Array {
    const bytes = this.bytes.slice();
    this.buffer = EMPTY;
    this.used = 0;
    this.hold.resize(bytes.length);
    return bytes;
  }

  /** Forgets the collected bytes. */
  clear(): void {
    this.used = 0;
    if (this.buffer.length > REUSED_BYTES) {
      this.buffer = EMPTY;
      this.hold.resize(0);
    }
  }

  private grow(size: number): boolean {
    const capacity = Math.max(INITIAL_BYTES, 2 * this.buffer.length, size);
    if (!this.hold.resize(capacity)) {
      return false;
    }
    const larger = new Uint8Array(capacity);
    larger.set(this.bytes);
    this.buffer = larger;
    return true;
  }
}
