/** Cuts a stream of server-sent events into whole events. */

/** One event with all of its bytes. */
export interface StreamEvent {
  /** Undefined for an event without a numeric identifier. */
  readonly id: number | undefined;
  readonly bytes: Uint8Array;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /^id: ?(\d+)\r?$/m;

/** Longest event that is waited for; a stream with a longer one is cut off. */
const EVENT_LIMIT_BYTES = 1024 * 1024;

/** Holds back an event until it is whole: upstreams may stop in the middle of one. */
export class EventFramer {
  private rest: Uint8Array = new Uint8Array(0);
  private readonly decoder = new TextDecoder();

  /** Takes bytes as they come; answers the events that are whole now. */
  push(chunk: Uint8Array): readonly StreamEvent[] {
    const bytes = join(this.rest, chunk);
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
    this.rest = bytes.subarray(start);
    return events;
  }

  /** Bytes of an event that is not whole. */
  get pendingBytes(): number {
    return this.rest.length;
  }

  /** Whether an event is longer than any that is waited for. */
  get isOverLimit(): boolean {
    return this.rest.length > EVENT_LIMIT_BYTES;
  }

  private toEvent(bytes: Uint8Array): StreamEvent {
    const match = ID_FIELD.exec(this.decoder.decode(bytes));
    return {id: match ? Number(match[1]) : undefined, bytes};
  }
}

function isBlank(bytes: Uint8Array, from: number, to: number): boolean {
  return to === from || (to === from + 1 && bytes[from] === CARRIAGE_RETURN);
}

function join(left: Uint8Array, right: Uint8Array): Uint8Array {
  if (left.length === 0) {
    return right;
  }
  const joined = new Uint8Array(left.length + right.length);
  joined.set(left);
  joined.set(right, left.length);
  return joined;
}
