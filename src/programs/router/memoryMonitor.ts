import {getHeapStatistics} from 'node:v8';

import {DisposableOwner, toDisposable} from '../../base/common/lifecycle.js';
import {LogFields, Logger} from '../../infrastructure/logging/common/logger.js';

/** Period of the check: a flood of small buffers fills the heap within seconds. */
const CHECK_PERIOD_MILLISECONDS = 200;

/** Share of a limit from which on the use of memory is logged, each time that it has grown by a step. */
const FIRST_LOGGED_SHARE = 0.5;
const LOGGED_STEP = 0.1;

/** Memory of a process, in bytes. */
export interface MemoryUse {
  readonly heapBytes: number;
  /** Size at which V8 ends the process. */
  readonly heapLimitBytes: number;
  /** Buffers outside of the heap. */
  readonly externalBytes: number;
}

/** Reads the memory of this process. */
export function readMemoryUse(): MemoryUse {
  const statistics = getHeapStatistics();
  return {
    heapBytes: statistics.used_heap_size,
    heapLimitBytes: statistics.heap_size_limit,
    externalBytes: statistics.external_memory,
  };
}

/** Logs a warning when the process comes near the size at which it ends, while it can still be logged. */
export class MemoryMonitor extends DisposableOwner {
  /** Number of steps above the first logged share, as logged last; 0 below it. */
  private loggedLevel = 0;

  /**
   * @param memoryLimitBytes memory beyond which the platform ends the process
   * @param describe what holds memory now, for the log
   */
  constructor(
    private readonly logger: Logger,
    private readonly memoryLimitBytes: number,
    private readonly describe: () => LogFields,
    private readonly read: () => MemoryUse = readMemoryUse,
  ) {
    super();
    const timer = setInterval(() => this.check(), CHECK_PERIOD_MILLISECONDS);
    this.register(toDisposable(() => clearInterval(timer)));
  }

  /** Logs the use of memory if it has grown by a step since it was logged last. */
  check(): void {
    const use = this.read();
    const level = this.levelOf(use);
    if (level > this.loggedLevel) {
      this.logger.warn('memory use is high', {
        ...use,
        memoryLimitBytes: this.memoryLimitBytes,
        ...this.describe(),
      });
    }
    this.loggedLevel = level;
  }

  private levelOf({
    heapBytes,
    heapLimitBytes,
    externalBytes,
  }: MemoryUse): number {
    const share = Math.max(
      heapBytes / heapLimitBytes,
      (heapBytes + externalBytes) / this.memoryLimitBytes,
    );
    const steps = Math.floor((share - FIRST_LOGGED_SHARE) / LOGGED_STEP) + 1;
    return Math.max(0, steps);
  }
}
