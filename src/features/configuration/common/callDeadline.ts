import {
  CancellationSource,
  CancellationToken,
} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';

/** Runs a call with a token that is cancelled after a timeout. Without a parent, the call outlives its caller. */
export async function withDeadline<T>(
  clock: Clock,
  parent: CancellationToken | undefined,
  milliseconds: number,
  call: (token: CancellationToken) => Promise<T>,
): Promise<T> {
  const source = new CancellationSource(parent);
  const timer = clock.setTimer(milliseconds, () =>
    source.cancel('no answer in time'),
  );
  try {
    return await call(source.token);
  } finally {
    timer.dispose();
    source.dispose();
  }
}
