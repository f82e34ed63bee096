import {Clock} from '../../base/common/clock.js';
import {Disposable, toDisposable} from '../../base/common/lifecycle.js';
import {Logger} from '../../infrastructure/logging/common/logger.js';

/** How often the loop is looked at. */
const PERIOD_MILLISECONDS = 100;

/** A delay that callers notice: a fair part of the pause that they allow between events. */
const STALL_MILLISECONDS = 60;

/** Writes a line when the event loop was held up, by this process or by the machine. */
export function watchLoop(clock: Clock, logger: Logger): Disposable {
  let last = clock.monotonicMilliseconds();
  let cpu = process.cpuUsage();
  const timer = setInterval(() => {
    const now = clock.monotonicMilliseconds();
    const stall = now - last - PERIOD_MILLISECONDS;
    const used = process.cpuUsage(cpu);
    if (stall > STALL_MILLISECONDS) {
      logger.warn('event loop held up', {
        milliseconds: Math.round(stall),
        processorMilliseconds: Math.round((used.user + used.system) / 1000),
      });
    }
    last = now;
    cpu = process.cpuUsage();
  }, PERIOD_MILLISECONDS);
  return toDisposable(() => clearInterval(timer));
}
