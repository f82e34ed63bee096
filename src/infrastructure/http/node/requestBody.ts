import {IncomingMessage} from 'node:http';

import {ByteCollector} from '../../../base/common/byteCollector.js';
import {MemoryHold} from '../../../base/common/memoryBudget.js';
import {FRAMING_LIMIT_BYTES} from './responseFraming.js';

/** What became of a chunk of a body; after any but the first nothing more is to be added. */
export type ChunkOutcome =
  | 'added'
  /** The body exceeds its limit, or what surrounds it is far longer than it is. */
  | 'tooLarge'
  /** The memory for the body was refused. */
  | 'noMemory';

/** The body of a request that is being received by Node's HTTP server. */
export class RequestBody {
  private readonly body: ByteCollector;
  private readonly bytesReadBefore: number;

  /** @param hold accounts the body; its owner disposes of it */
  constructor(
    private readonly request: IncomingMessage,
    private readonly limitBytes: number,
    hold: MemoryHold,
  ) {
    this.body = new ByteCollector(hold);
    this.bytesReadBefore = request.socket.bytesRead;
  }

  /** Adds a received chunk. */
  add(chunk: Uint8Array): ChunkOutcome {
    const size = this.body.size + chunk.length;
    const received = this.request.socket.bytesRead - this.bytesReadBefore;
    // Chunks that were received together are all counted with the first: less than the limit.
    const isFramingTooLong = received - size > FRAMING_LIMIT_BYTES + size;
    if (size > this.limitBytes || isFramingTooLong) {
      return 'tooLarge';
    }
    return this.body.append(chunk) ? 'added' : 'noMemory';
  }

  /** The received bytes; valid until more are added. */
  get bytes(): Buffer {
    const {buffer, byteOffset, length} = this.body.bytes;
    return Buffer.from(buffer, byteOffset, length);
  }

  /** Returns the received bytes in a buffer of their own size, for which they are accounted from now on. */
  take(): Uint8Array {
    return this.body.take();
  }
}
