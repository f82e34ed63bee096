import {ByteCollector} from '../../../base/common/byteCollector.js';
import {
  MemoryHold,
  unaccountedHold,
} from '../../../base/common/memoryBudget.js';

/** Splits a stream of server-sent events into complete events. */

/** One complete event with its raw bytes. */
export interface StreamEvent {
  /** Undefined if the event has no numeric identifier, or several. */
  readonly id: number | undefined;
  /** Whether the event has data, without which callers don't receive it. */
  readonly hasData: boolean;
  readonly bytes: Uint8Array;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /^id: ?(\d+)\r?$/m;
const DATA_FIELD = /^data(:|\r?$)/m;

/** Maximum size of a buffered incomplete event; an attempt with a longer event is abandoned. */
const EVENT_LIMIT_BYTES = 1024 * 1024;

/**
 * Buffers an event until it is complete, since an upstream may stop in the middle of one. Each byte is searched once: an
 * upstream may send an event without end in small chunks.
 */
export class EventFramer {
  /** The incomplete event. */
  private readonly partial: ByteCollector;
  private hasMemory = true;
  /** Length of the incomplete line. */
  private lineBytes = 0;
  private lastByte = 0;
  private readonly decoder = new TextDecoder();

  /** @param hold accounts the incomplete event; its owner disposes of it */
  constructor(hold: MemoryHold = unaccountedHold) {
    this.partial = new ByteCollector(hold);
  }

  /** Adds received bytes and returns the events that are now complete, as far as there is memory for them. */
  push(chunk: Uint8Array): readonly StreamEvent[] {
    const events: StreamEvent[] = [];
    let start = 0;
    let lineStart = 0;
    for (;;) {
      const index = chunk.indexOf(LINE_FEED, lineStart);
      if (index < 0) {
        break;
      }
      const isLineBlank = this.isBlank(chunk, lineStart, index);
      this.lineBytes = 0;
      lineStart = index + 1;
      if (isLineBlank) {
        const event = this.completeEvent(chunk.subarray(start, lineStart));
        if (event === undefined) {
          return events;
        }
        events.push(event);
        start = lineStart;
      }
    }
    this.append(start === 0 ? chunk : chunk.subarray(start));
    this.lineBytes += chunk.length - lineStart;
    this.lastByte = chunk.at(-1) ?? this.lastByte;
    return events;
  }

  /** Size of the buffered incomplete event. */
  get pendingBytes(): number {
    return this.partial.size;
  }

  /** Whether the buffered incomplete event exceeds the size limit. */
  get isOverLimit(): boolean {
    return this.partial.size > EVENT_LIMIT_BYTES;
  }

  /** Whether the memory for the incomplete event was refused; the attempt is to be abandoned. */
  get isOutOfMemory(): boolean {
    return !this.hasMemory;
  }

  private append(bytes: Uint8Array): void {
    this.hasMemory = this.partial.append(bytes) && this.hasMemory;
  }

  /** Returns the event that ends with the given bytes; undefined if there is no memory for it. */
  private completeEvent(end: Uint8Array): StreamEvent | undefined {
    if (this.partial.size === 0) {
      return this.toEvent(end);
    }
    this.append(end);
    if (!this.hasMemory) {
      return undefined;
    }
    const bytes = this.partial.bytes.slice();
    this.partial.clear();
    return this.toEvent(bytes);
  }

  /** Whether the line that ends at an index of a chunk is empty but for a carriage return. */
  private isBlank(chunk: Uint8Array, lineStart: number, end: number): boolean {
    const length = this.lineBytes + end - lineStart;
    const lastByte = end > lineStart ? chunk[end - 1] : this.lastByte;
    return length === 0 || (length === 1 && lastByte === CARRIAGE_RETURN);
  }

  private toEvent(bytes: Uint8Array): StreamEvent {
    const text = this.decoder.decode(bytes);
    return {id: readId(text), hasData: DATA_FIELD.test(text), bytes};
  }
}

/** An event with several identifiers is several events that have lost the blank line between them. */
function readId(text: string): number | undefined {
  const match = ID_FIELD.exec(text);
  if (match === null) {
    return undefined;
  }
  const rest = text.slice(match.index + match[0].length);
  return ID_FIELD.test(rest) ? undefined : Number(match[1]);
}
