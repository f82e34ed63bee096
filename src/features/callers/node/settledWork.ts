import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {failure, Result} from '../../../base/common/result.js';
import {RequestFailure} from '../../requests/common/failure.js';
import {CallerAnswer} from '../common/claimAnswers.js';
import {maybeExecuted} from '../common/failureBody.js';

/** Milliseconds that cancelled work has to end, before its outcome counts as not known. */
const SETTLE_LIMIT_MILLISECONDS = 5000;

/** What work comes to. */
export type WorkResult = Result<CallerAnswer, RequestFailure>;

/** Runs work so that it always settles: on a fault of our own, and when cancelled work doesn't end. */
export async function settledWork(
  work: () => Promise<WorkResult>,
  token: CancellationToken,
  clock: Clock,
  onUnexpected: (error: unknown) => void,
): Promise<WorkResult> {
  let limit: Disposable | undefined;
  let cancelled: Disposable | undefined;
  const givenIn = new Promise<WorkResult>(resolve => {
    cancelled = token.onDidCancel(() => {
      const giveIn = () =>
        resolve(failure(maybeExecuted({kind: 'callerGone'})));
      limit = clock.setTimer(SETTLE_LIMIT_MILLISECONDS, giveIn);
    });
  });
  try {
    return await Promise.race([work(), givenIn]);
  } catch (error) {
    onUnexpected(error);
    const detail = 'internal error';
    return failure(maybeExecuted({kind: 'upstreamFailed', detail}));
  } finally {
    cancelled?.dispose();
    limit?.dispose();
  }
}
