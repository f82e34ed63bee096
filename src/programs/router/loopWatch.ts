import {Clock} from '../../base/common/clock.js';
import {Disposable, toDisposable} from '../../base/common/lifecycle.js';
import {Logger} from '../../infrastructure/logging/common/logger.js';

/** Period of the check. */
const PERIOD_MILLISECONDS = 100;

/** Delay that is reported: a noticeable part of the pause that callers tolerate between events. */
const STALL_MILLISECONDS = 60;

/** Logs a warning when the event loop was delayed, either by this process or by contention on the machine. */
export function watchLoop(clock: Clock, logger: Logger): Disposable {
  let last = clock.monotonicMilliseconds();
  let cpu = process.cpuUsage();
  const timer = setInterval(() => {
    const now = clock.monotonicMilliseconds();
    const stall = now - last - PERIOD_MILLISECONDS;
    const used = process.cpuUsage(cpu);
    if (stall > STALL_MILLISECONDS) {
      logger.warn('event loop delayed', {
        milliseconds: Math.round(stall),
        processorMilliseconds: Math.round((used.user + used.system) / 1000),
      });
    }
    last = now;
    cpu = process.cpuUsage();
  }, PERIOD_MILLISECONDS);
  return toDisposable(() => clearInterval(timer));
}
