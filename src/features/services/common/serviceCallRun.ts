import {
  CancellationSource,
  CancellationToken,
} from '../../../base/common/cancellation.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {failure, Result, success} from '../../../base/common/result.js';
import {
  ServiceError,
  ServiceResponse,
} from '../../../infrastructure/service/common/serviceConnection.js';
import {ServiceCallRequest} from '../../callers/common/serviceDispatcher.js';
import {RequestError, RequestFailure} from '../../requests/common/failure.js';
import {
  OTHER_ATTEMPT_SUCCEEDED,
  AttemptLogEntry,
  AttemptReason,
  AttemptResult,
  ChosenReplica,
  ServiceAttempt,
  ServiceAttemptParts,
} from './serviceAttempt.js';

const ATTEMPT_LIMIT = 4;
const BACKOFF_MILLISECONDS = 20;
const BACKOFF_LIMIT_MILLISECONDS = 500;
const RETRY_AFTER_MILLISECONDS = 1000;

/** Services and per-service state that a run uses. */
export interface CallRunParts extends ServiceAttemptParts {
  readonly random: RandomSource;
}

/**
 * Runs one call with its retries and hedges. A call that must not be repeated is retried only after errors that prove
 * that it was not run.
 */
export class ServiceCallRun {
  readonly attempts: AttemptLogEntry[] = [];
  private readonly triedUpstreams: string[] = [];
  private mayHaveRun = false;
  private suggestedRetryAfter: number | undefined;
  private lastError: RequestError = {
    kind: 'noUpstream',
    detail: 'no replica can take the call',
  };

  constructor(
    private readonly parts: CallRunParts,
    private readonly request: ServiceCallRequest,
    private readonly repeatable: boolean,
    /** Cancelled at the deadline or when the caller disconnects; nothing is sent afterwards. */
    private readonly token: CancellationToken,
  ) {}

  /** Builds the failure to respond with now; `executed` is `no` only if no attempt may have run. */
  failureFor(error: RequestError): RequestFailure {
    const isInFlight = this.attempts.some(entry => entry.outcome === 'sent');
    return {
      error,
      executed: this.mayHaveRun || isInFlight ? 'unknown' : 'no',
      retryAfterMilliseconds: this.suggestedRetryAfter,
      addresses: [],
    };
  }

  async run(): Promise<Result<ServiceResponse, RequestFailure>> {
    for (let count = 0; count < ATTEMPT_LIMIT; count++) {
      if (this.isEnded()) {
        return failure(this.failureFor({kind: 'deadlineExceeded'}));
      }
      const choice = this.chooseReplica();
      if (choice === undefined) {
        break;
      }
      const reason = count === 0 ? 'first' : 'retry';
      const results = await this.attemptWithHedge(choice, reason);
      const succeeded = results.find(result => result.ok);
      if (succeeded?.ok) {
        return success(succeeded.value);
      }
      if (!results.every(result => this.canRetry(result))) {
        break;
      }
      await this.pause(count);
    }
    return failure(this.failureFor(this.lastError));
  }

  private isEnded(): boolean {
    const now = this.parts.clock.monotonicMilliseconds();
    return this.token.isCancelled || now >= this.request.deadlineAt;
  }

  private chooseReplica(): ChosenReplica | undefined {
    const {service} = this.request;
    const choice = this.parts.broker.chooseService(
      service,
      this.triedUpstreams,
    );
    if (choice.kind === 'none') {
      this.suggestedRetryAfter ??= choice.retryAfterMilliseconds;
      return undefined;
    }
    this.triedUpstreams.push(choice.upstream);
    return choice;
  }

  /** Calls one replica, and a second one if a repeatable call takes longer than the 95th percentile. */
  private async attemptWithHedge(
    choice: ChosenReplica,
    reason: AttemptReason,
  ): Promise<readonly AttemptResult[]> {
    const source = new CancellationSource(this.token);
    try {
      const first = this.call(choice, reason, source.token);
      if (!(await this.exceedsHedgeDelay(first))) {
        return [await first];
      }
      const other = this.chooseHedge();
      if (other === undefined) {
        return [await first];
      }
      const second = this.call(other, 'hedge', source.token);
      return await firstSuccess([first, second]);
    } finally {
      source.cancel(OTHER_ATTEMPT_SUCCEEDED);
      source.dispose();
    }
  }

  private exceedsHedgeDelay(call: Promise<AttemptResult>): Promise<boolean> {
    const after = this.repeatable ? this.parts.latency.percentile95 : undefined;
    if (after === undefined) {
      return Promise.resolve(false);
    }
    return new Promise(resolve => {
      const timer = this.parts.clock.setTimer(after, () => resolve(true));
      void call.then(() => {
        timer.dispose();
        resolve(false);
      });
    });
  }

  private chooseHedge(): ChosenReplica | undefined {
    if (this.isEnded() || !this.parts.budget.tryTakeRetry()) {
      return undefined;
    }
    return this.chooseReplica();
  }

  private call(
    choice: ChosenReplica,
    reason: AttemptReason,
    token: CancellationToken,
  ): Promise<AttemptResult> {
    const attempt = new ServiceAttempt(
      this.parts,
      this.request,
      choice,
      reason,
    );
    this.attempts.push(attempt.logEntry);
    return attempt.run(token, error => this.recordError(error));
  }

  private recordError(error: ServiceError): void {
    switch (error.kind) {
      case 'unreachable':
        break;
      case 'refused':
        this.suggestedRetryAfter = error.retryAfterMilliseconds;
        break;
      case 'lost':
      case 'mismatch':
        this.mayHaveRun = true;
        break;
    }
    this.lastError = {kind: 'upstreamFailed', detail: error.kind};
    if (error.kind !== 'refused') {
      this.suggestedRetryAfter ??= RETRY_AFTER_MILLISECONDS;
    }
  }

  /** A failed connection attempt puts no load on the service, so it takes nothing from the retry budget. */
  private canRetry(result: AttemptResult): boolean {
    if (result.ok || result.error.kind === 'unreachable') {
      return true;
    }
    const isSafe = this.repeatable || result.error.kind === 'refused';
    return isSafe && this.parts.budget.tryTakeRetry();
  }

  /** Exponential backoff with full jitter, so that calls that failed together are not retried together. */
  private pause(count: number): Promise<void> {
    const limit = Math.min(
      BACKOFF_LIMIT_MILLISECONDS,
      BACKOFF_MILLISECONDS * 2 ** count,
    );
    const {clock, random} = this.parts;
    return new Promise(resolve => {
      clock.setTimer(random.next() * limit, resolve);
    });
  }
}

/** Resolves with only the first success, or with all results if every attempt failed. */
function firstSuccess(
  calls: ReadonlyArray<Promise<AttemptResult>>,
): Promise<readonly AttemptResult[]> {
  return new Promise(resolve => {
    for (const call of calls) {
      void call.then(result => result.ok && resolve([result]));
    }
    void Promise.all(calls).then(resolve);
  });
}
