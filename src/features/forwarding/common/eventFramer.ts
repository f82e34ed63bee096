/** Splits a stream of server-sent events into complete events. */

/** One complete event with its raw bytes. */
export interface StreamEvent {
  /** Undefined if the event has no numeric identifier. */
  readonly id: number | undefined;
  readonly bytes: Uint8Array;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /^id: ?(\d+)\r?$/m;

/** Maximum size of a buffered incomplete event; an attempt with a longer event is abandoned. */
const EVENT_LIMIT_BYTES = 1024 * 1024;

/** Buffers an event until it is complete, since an upstream may stop in the middle of one. */
export class EventFramer {
  private remainder: Uint8Array = new Uint8Array(0);
  private readonly decoder = new TextDecoder();

  /** Adds received bytes and returns the events that are now complete. */
  push(chunk: Uint8Array): readonly StreamEvent[] {
    const bytes = concatenate(this.remainder, chunk);
    const events: StreamEvent[] = [];
    let start = 0;
    let lineStart = 0;
    for (let index = 0; index < bytes.length; index++) {
      if (bytes[index] !== LINE_FEED) {
        continue;
      }
      if (isBlank(bytes, lineStart, index)) {
        events.push(this.toEvent(bytes.subarray(start, index + 1)));
        start = index + 1;
      }
      lineStart = index + 1;
    }
    this.remainder = bytes.subarray(start);
    return events;
  }

  /** Size of the buffered incomplete event. */
  get pendingBytes(): number {
    return this.remainder.length;
  }

  /** Whether the buffered incomplete event exceeds the size limit. */
  get isOverLimit(): boolean {
    return this.remainder.length > EVENT_LIMIT_BYTES;
  }

  private toEvent(bytes: Uint8Array): StreamEvent {
    const match = ID_FIELD.exec(this.decoder.decode(bytes));
    return {id: match ? Number(match[1]) : undefined, bytes};
  }
}

function isBlank(bytes: Uint8Array, from: number, to: number): boolean {
  return to === from || (to === from + 1 && bytes[from] === CARRIAGE_RETURN);
}

function concatenate(left: Uint8Array, right: Uint8Array): Uint8Array {
  if (left.length === 0) {
    return right;
  }
  const joined = new Uint8Array(left.length + right.length);
  joined.set(left);
  joined.set(right, left.length);
  return joined;
}
