import {
  CancellationSource,
  CancellationToken,
} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {DisposableOwner, toDisposable} from '../../../base/common/lifecycle.js';
import {RandomSource} from '../../../base/common/randomSource.js';

/** Share of a period by which a run may come earlier or later. */
const JITTER_SHARE = 0.2;

/** Runs a task again and again, one run at a time, with jitter so that instances don't act in step. */
export class RepeatingTask extends DisposableOwner {
  private readonly source = new CancellationSource();
  private timer = toDisposable(() => undefined);
  private running = false;
  private wanted = false;

  /** @param period milliseconds until the next run, asked after each run. */
  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly period: () => number,
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

  /** Runs as soon as possible; while a run is on, once more after it. */
  runNow(): void {
    if (this.isDisposed) {
      return;
    }
    if (this.running) {
      this.wanted = true;
      return;
    }
    this.timer.dispose();
    void this.run();
  }

  private async run(): Promise<void> {
    this.running = true;
    this.wanted = false;
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
    const delay = this.wanted ? 0 : this.period() * jitter;
    this.timer = this.clock.setTimer(delay, () => void this.run());
  }
}
