import {Disposable, toDisposable} from '../../src/base/common/lifecycle.js';
import {ManagedProcess} from './managedProcess.js';

/** How much of the time a held process runs. */
export interface RunShare {
  /** Time that it runs in each period. */
  readonly runMilliseconds: number;
  readonly periodMilliseconds: number;
}

/**
 * Holds a process for a part of each period, as a machine without processor time would; dispose to let it run. Seen from outside, its event
 * loop is late.
 */
export function holdInTurns(
  held: ManagedProcess,
  {runMilliseconds, periodMilliseconds}: RunShare,
): Disposable {
  let resumeTimer: NodeJS.Timeout | undefined;
  const holdOnce = (): void => {
    held.freeze();
    resumeTimer = setTimeout(
      () => held.resume(),
      periodMilliseconds - runMilliseconds,
    );
  };
  const timer = setInterval(holdOnce, periodMilliseconds);
  holdOnce();
  return toDisposable(() => {
    clearInterval(timer);
    clearTimeout(resumeTimer);
    held.resume();
  });
}
