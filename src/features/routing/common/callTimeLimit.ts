import {Clock} from '../../../base/common/clock.js';
import {Disposable, toDisposable} from '../../../base/common/lifecycle.js';

const TICK_MILLISECONDS = 10;
/** A call ends after this multiple of its limit, however little of the time this process could run. */
const MAXIMUM_ELAPSED_RATIO = 5;

/**
 * Limits a call by the time in which this process could have received the response. A tick that fires late shows that
 * the process was busy or waited for a processor; it counts with its nominal length only.
 *
 * @param onExceeded called once when the limit is exceeded; never after disposal.
 */
export function limitCallTime(
  clock: Clock,
  limitMilliseconds: number,
  onExceeded: () => void,
): Disposable {
  const startedAt = clock.monotonicMilliseconds();
  let counted = 0;
  let timer: Disposable | undefined;
  const scheduleTick = (): void => {
    const tick = Math.min(TICK_MILLISECONDS, limitMilliseconds - counted);
    timer = clock.setTimer(tick, () => {
      counted += tick;
      const elapsed = clock.monotonicMilliseconds() - startedAt;
      const isExceeded =
        counted >= limitMilliseconds ||
        elapsed >= MAXIMUM_ELAPSED_RATIO * limitMilliseconds;
      if (isExceeded) {
        onExceeded();
      } else {
        scheduleTick();
      }
    });
  };
  scheduleTick();
  return toDisposable(() => timer?.dispose());
}
