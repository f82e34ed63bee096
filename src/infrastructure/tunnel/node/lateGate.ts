import {Transform, TransformCallback} from 'node:stream';

import {Clock} from '../../../base/common/clock.js';
import {EventLoop, isLoopLate} from '../../../base/common/eventLoop.js';

/** What is read behind a chunk that waits, so that the end behind a usual request is read. */
const READ_AHEAD_BYTES = 64 * 1024;

/** Passes bytes on; while the event loop is late, only after it has read whether their sender has left. */
export class LateGate extends Transform {
  constructor(
    private readonly clock: Clock,
    private readonly eventLoop: EventLoop,
    private readonly hasLeft: () => boolean,
  ) {
    super({writableHighWaterMark: READ_AHEAD_BYTES});
  }

  override _transform(
    chunk: Buffer,
    _encoding: BufferEncoding,
    done: TransformCallback,
  ): void {
    if (!isLoopLate(this.clock, this.eventLoop)) {
      done(null, chunk);
      return;
    }
    void this.eventLoop
      .nextPoll()
      .then(() => (this.hasLeft() ? done() : done(null, chunk)));
  }
}
