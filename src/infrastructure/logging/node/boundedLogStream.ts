import {Writable} from 'node:stream';

import {ignoreWriteErrors} from './ignoreWriteErrors.js';

/** Lines above this rate are dropped and counted. */
const MAX_LINES_PER_SECOND = 400;

/** Lines are dropped while more than this is buffered for a slow reader. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

const WINDOW_MILLISECONDS = 1000;

/**
 * Forwards log lines without blocking and limits their volume. A log line reports the number of dropped lines. Errors of the
 * target end neither the process nor the log.
 */
export class BoundedLogStream extends Writable {
  private windowStart = 0;
  private linesInWindow = 0;
  private droppedLines = 0;

  constructor(
    private readonly target: Writable,
    private readonly now: () => number = () => performance.now(),
  ) {
    super({decodeStrings: false});
    ignoreWriteErrors(target);
  }

  override _write(
    line: string | Buffer,
    _encoding: string,
    callback: () => void,
  ): void {
    this.writeOrDrop(line);
    callback();
  }

  /** Reports the lines that were dropped since the last report. */
  override _final(callback: () => void): void {
    this.reportDropped();
    callback();
  }

  private writeOrDrop(line: string | Buffer): void {
    const now = this.now();
    if (now - this.windowStart >= WINDOW_MILLISECONDS) {
      this.windowStart = now;
      this.linesInWindow = 0;
    }
    const isTargetFull = this.target.writableLength > MAX_BUFFERED_BYTES;
    if (isTargetFull || this.linesInWindow >= MAX_LINES_PER_SECOND) {
      this.droppedLines++;
      return;
    }
    this.linesInWindow++;
    this.reportDropped();
    this.tryWrite(line);
  }

  private reportDropped(): void {
    if (this.droppedLines > 0) {
      const report = {msg: 'log lines left out', count: this.droppedLines};
      this.droppedLines = 0;
      this.tryWrite(`${JSON.stringify(report)}\n`);
    }
  }

  /** Writes to the target, which throws where it is a file that can't be written. */
  private tryWrite(line: string | Buffer): void {
    try {
      this.target.write(line);
    } catch {
      this.droppedLines++;
    }
  }
}
