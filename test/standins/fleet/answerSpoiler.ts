import {IncomingMessage, Server} from 'node:http';
import {Socket} from 'node:net';

/** A change of the bytes of one answer. */
export interface ByteChange {
  /** Place in the answer, counted from the first byte of its status line. */
  readonly offset: number;
  readonly kind: 'replace' | 'omit' | 'insert';
  /** The new byte; unused when one is omitted. */
  readonly value: number;
}

/** How one answer is spoiled. */
export interface Spoiling {
  readonly changes: readonly ByteChange[];
  /** For how long bytes are held back, so that several writes arrive in one read; 0 if they aren't. */
  readonly heldMilliseconds: number;
}

/** The answer that is written to a connection. */
interface RunningAnswer {
  offset: number;
  spoiling: Spoiling | undefined;
}

/** Changes bytes of the answers that an HTTP server writes, below its own checks. */
export class AnswerSpoiler {
  private readonly running = new WeakMap<Socket, RunningAnswer>();

  /** @param choose returns how the answer to a request is spoiled; undefined for a sound answer */
  constructor(
    private readonly choose: (request: IncomingMessage) => Spoiling | undefined,
  ) {}

  /** Spoils the answers of a server from now on. */
  attach(server: Server): void {
    server.on('connection', (socket: Socket) => this.watch(socket));
    server.prependListener('request', (request: IncomingMessage) => {
      const spoiling = this.choose(request);
      this.running.set(request.socket, {offset: 0, spoiling});
      const held = spoiling?.heldMilliseconds ?? 0;
      if (held > 0) {
        request.socket.cork();
        setTimeout(() => request.socket.uncork(), held);
      }
    });
  }

  private watch(socket: Socket): void {
    const write = socket.write.bind(socket) as (
      bytes: Buffer,
      callback?: () => void,
    ) => boolean;
    const spoiled = (
      data: string | Uint8Array,
      encodingOrCallback?: BufferEncoding | (() => void) | null,
      callback?: () => void,
    ): boolean => {
      const isCallback = typeof encodingOrCallback === 'function';
      const encoding = isCallback ? undefined : encodingOrCallback;
      const bytes =
        typeof data === 'string'
          ? Buffer.from(data, encoding ?? 'utf8')
          : Buffer.from(data);
      return write(
        this.spoil(socket, bytes),
        isCallback ? encodingOrCallback : callback,
      );
    };
    socket.write = spoiled as typeof socket.write;
  }

  private spoil(socket: Socket, bytes: Buffer): Buffer {
    const answer = this.running.get(socket);
    if (answer === undefined) {
      return bytes;
    }
    const start = answer.offset;
    answer.offset += bytes.length;
    const changes = (answer.spoiling?.changes ?? []).filter(
      ({offset}) => offset >= start && offset < answer.offset,
    );
    return changes.length === 0 ? bytes : applyChanges(bytes, start, changes);
  }
}

function applyChanges(
  bytes: Buffer,
  start: number,
  changes: readonly ByteChange[],
): Buffer {
  const values: number[] = [];
  for (const [index, byte] of bytes.entries()) {
    const change = changes.find(({offset}) => offset === start + index);
    if (change === undefined) {
      values.push(byte);
    } else if (change.kind === 'replace') {
      values.push(change.value);
    } else if (change.kind === 'insert') {
      values.push(change.value, byte);
    }
  }
  return Buffer.from(values);
}
