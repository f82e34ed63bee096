import {EventLoopUtilization, performance} from 'node:perf_hooks';

import {Clock} from '../../../base/common/clock.js';
import {Disposable, DisposableOwner} from '../../../base/common/lifecycle.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {InstanceLoad, redirectedShare} from '../common/instanceLoad.js';

const SAMPLE_MILLISECONDS = 200;
/** Weight of the newest sample in the utilization. */
const SMOOTHING = 0.3;

/** The load of this process, from the time that its event loop did not wait for events. */
export class EventLoopLoad extends DisposableOwner implements InstanceLoad {
  private smoothed = 0;
  private isOverloaded = false;
  private previous: EventLoopUtilization = performance.eventLoopUtilization();
  private timer: Disposable | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly metrics: Metrics,
  ) {
    super();
  }

  get utilization(): number {
    return this.smoothed;
  }

  /** Starts to measure; stops on dispose. */
  start(): void {
    this.timer = this.clock.setTimer(SAMPLE_MILLISECONDS, () => {
      this.takeSample();
      this.start();
    });
  }

  override dispose(): void {
    this.timer?.dispose();
    super.dispose();
  }

  private takeSample(): void {
    const current = performance.eventLoopUtilization();
    const {utilization} = performance.eventLoopUtilization(
      current,
      this.previous,
    );
    this.previous = current;
    this.smoothed += SMOOTHING * (utilization - this.smoothed);
    this.metrics.gauge('caller.event_loop_utilization', this.smoothed);
    this.logChange();
  }

  private logChange(): void {
    const isOverloaded = redirectedShare(this.smoothed) > 0;
    if (isOverloaded !== this.isOverloaded) {
      this.isOverloaded = isOverloaded;
      this.logger.decision('instanceLoad', {
        isOverloaded,
        utilization: this.smoothed,
      });
    }
  }
}
