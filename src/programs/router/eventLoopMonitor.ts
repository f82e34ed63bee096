import {Clock} from '../../base/common/clock.js';
import {Disposable, toDisposable} from '../../base/common/lifecycle.js';
import {Logger} from '../../infrastructure/logging/common/logger.js';

/** Period of the check. */
const CHECK_PERIOD_MILLISECONDS = 100;

/** Delay that is reported: a noticeable part of the pause that callers tolerate between events. */
const DELAY_THRESHOLD_MILLISECONDS = 60;

/** Logs a warning when the event loop was delayed, either by this process or by contention on the machine. */
export function monitorEventLoop(clock: Clock, logger: Logger): Disposable {
  let lastCheckAt = clock.monotonicMilliseconds();
  let lastUsage = process.cpuUsage();
  const timer = setInterval(() => {
    const now = clock.monotonicMilliseconds();
    const delayMilliseconds = now - lastCheckAt - CHECK_PERIOD_MILLISECONDS;
    const usage = process.cpuUsage(lastUsage);
    if (delayMilliseconds > DELAY_THRESHOLD_MILLISECONDS) {
      logger.warn('event loop delayed', {
        milliseconds: Math.round(delayMilliseconds),
        processorMilliseconds: Math.round((usage.user + usage.system) / 1000),
      });
    }
    lastCheckAt = now;
    lastUsage = process.cpuUsage();
  }, CHECK_PERIOD_MILLISECONDS);
  return toDisposable(() => clearInterval(timer));
}
