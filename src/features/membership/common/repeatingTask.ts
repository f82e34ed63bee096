import {
  CancellationSource,
  CancellationToken,
} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {DisposableOwner, toDisposable} from '../../../base/common/lifecycle.js';
import {RandomSource} from '../../../base/common/randomSource.js';

/** Maximum deviation from the period, as a share of it. */
const JITTER_SHARE = 0.2;

/** Runs a task periodically, one run at a time, with jitter so that instances don't synchronize. */
export class RepeatingTask extends DisposableOwner {
  private readonly source = new CancellationSource();
  private timer = toDisposable(() => undefined);
  private running = false;
  private rerunRequested = false;

  /** @param periodMilliseconds returns the delay until the next run; called after each run. */
  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly periodMilliseconds: () => number,
    private readonly task: (token: CancellationToken) => Promise<void>,
  ) {
    super();
    this.register(
      toDisposable(() => {
        this.timer.dispose();
        this.source.cancel('stopped');
      }),
    );
  }

  /** Starts a run now, or directly after the current one. */
  runNow(): void {
    if (this.isDisposed) {
      return;
    }
    if (this.running) {
      this.rerunRequested = true;
      return;
    }
    this.timer.dispose();
    void this.run();
  }

  private async run(): Promise<void> {
    this.running = true;
    this.rerunRequested = false;
    try {
      await this.task(this.source.token);
    } finally {
      this.running = false;
      this.schedule();
    }
  }

  private schedule(): void {
    if (this.isDisposed) {
      return;
    }
    const jitter = 1 + JITTER_SHARE * (2 * this.random.next() - 1);
    const delay = this.rerunRequested ? 0 : this.periodMilliseconds() * jitter;
    this.timer = this.clock.setTimer(delay, () => void this.run());
  }
}
