import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {failure, Result} from '../../../base/common/result.js';
import {RequestFailure} from '../../requests/common/failure.js';
import {ResponseContent} from '../common/claimActions.js';
import {maybeExecuted} from '../common/failureBody.js';

/** Milliseconds for cancelled work to end, before its outcome is reported as unknown. */
const SETTLE_TIMEOUT_MILLISECONDS = 5000;

/** The response of the work, or its failure. */
export type WorkResult = Result<ResponseContent, RequestFailure>;

/** Runs work and settles also when the work throws, or doesn't end in time after cancellation. */
export async function settleWork(
  work: () => Promise<WorkResult>,
  token: CancellationToken,
  clock: Clock,
  onUnexpectedError: (error: unknown) => void,
): Promise<WorkResult> {
  let timer: Disposable | undefined;
  let cancelled: Disposable | undefined;
  const timedOut = new Promise<WorkResult>(resolve => {
    cancelled = token.onDidCancel(() => {
      const failAsUnknown = () =>
        resolve(failure(maybeExecuted({kind: 'callerGone'})));
      timer = clock.setTimer(SETTLE_TIMEOUT_MILLISECONDS, failAsUnknown);
    });
  });
  try {
    return await Promise.race([work(), timedOut]);
  } catch (error) {
    onUnexpectedError(error);
    const detail = 'internal error';
    return failure(maybeExecuted({kind: 'upstreamFailed', detail}));
  } finally {
    cancelled?.dispose();
    timer?.dispose();
  }
}
