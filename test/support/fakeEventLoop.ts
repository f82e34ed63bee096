import {Clock} from '../../src/base/common/clock.js';
import {EventLoop} from '../../src/base/common/eventLoop.js';

/** An event loop that a test makes late. */
export class FakeEventLoop extends EventLoop {
  /** Time for which what is read now may have waited. */
  latenessMilliseconds = 0;
  private readonly readers: Array<() => void> = [];

  constructor(private readonly clock: Clock) {
    super();
  }

  override get readUntil(): number {
    return this.clock.monotonicMilliseconds() - this.latenessMilliseconds;
  }

  override nextPoll(): Promise<void> {
    return this.readAll();
  }

  override readAll(): Promise<void> {
    return new Promise(resolve => this.readers.push(resolve));
  }

  /** Whether anything waits for the next poll. */
  get isAwaited(): boolean {
    return this.readers.length > 0;
  }

  /** Reads what has arrived: those that wait for it go on. */
  read(): void {
    this.readers.splice(0).forEach(resolve => resolve());
  }
}
