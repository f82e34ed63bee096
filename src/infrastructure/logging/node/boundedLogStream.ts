import {Writable} from 'node:stream';

/** Lines a second that are written; more are counted and left out. */
const LINES_PER_SECOND = 400;

/** Bytes that may wait for a reader who does not keep up; beyond them lines are left out. */
const WAITING_LIMIT_BYTES = 1024 * 1024;

const SECOND_MILLISECONDS = 1000;

/** Passes log lines on, never waits, and bounds their volume; what was left out is said in a line. */
export class BoundedLogStream extends Writable {
  private windowStart = 0;
  private lines = 0;
  private leftOut = 0;

  constructor(
    private readonly target: Writable,
    private readonly now: () => number = () => performance.now(),
  ) {
    super({decodeStrings: false});
  }

  override _write(
    line: string | Buffer,
    _encoding: string,
    callback: () => void,
  ): void {
    this.pass(line);
    callback();
  }

  private pass(line: string | Buffer): void {
    const now = this.now();
    if (now - this.windowStart >= SECOND_MILLISECONDS) {
      this.windowStart = now;
      this.lines = 0;
    }
    const isFull = this.target.writableLength > WAITING_LIMIT_BYTES;
    if (isFull || this.lines >= LINES_PER_SECOND) {
      this.leftOut++;
      return;
    }
    this.lines++;
    if (this.leftOut > 0) {
      const text = {msg: 'log lines left out', count: this.leftOut};
      this.leftOut = 0;
      this.target.write(`${JSON.stringify(text)}\n`);
    }
    this.target.write(line);
  }
}
