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
  ANOTHER_ANSWERED,
  AttemptNote,
  AttemptReason,
  AttemptResult,
  ChosenReplica,
  ServiceAttempt,
  ServiceAttemptParts,
} from './serviceAttempt.js';

const MAXIMUM_ATTEMPTS = 4;
const BACKOFF_MILLISECONDS = 20;
const BACKOFF_LIMIT_MILLISECONDS = 500;
const RETRY_AFTER_MILLISECONDS = 1000;

/** What a run works with. */
export interface CallRunParts extends ServiceAttemptParts {
  readonly random: RandomSource;
}

/**
 * One call and its tries. A call that may not be repeated is tried again only after answers which
 * prove that it was not run.
 */
export class ServiceCallRun {
  readonly attempts: AttemptNote[] = [];
  private readonly tried: string[] = [];
  private mayHaveRun = false;
  private retryAfter: number | undefined;
  private lastError: RequestError = {
    kind: 'noUpstream',
    detail: 'no replica can take the call',
  };

  constructor(
    private readonly parts: CallRunParts,
    private readonly request: ServiceCallRequest,
    private readonly repeatable: boolean,
    /** Cancelled when no further answer is wanted; nothing is sent afterwards. */
    private readonly token: CancellationToken,
  ) {}

  /** The failure to answer with now; `no` only while nothing that was sent may have run. */
  failureFor(error: RequestError): RequestFailure {
    const isUnderWay = this.attempts.some(note => note.outcome === 'sent');
    return {
      error,
      executed: this.mayHaveRun || isUnderWay ? 'unknown' : 'no',
      retryAfterMilliseconds: this.retryAfter,
      addresses: [],
    };
  }

  async run(): Promise<Result<ServiceResponse, RequestFailure>> {
    for (let count = 0; count < MAXIMUM_ATTEMPTS; count++) {
      if (this.isOver()) {
        return failure(this.failureFor({kind: 'deadlineExceeded'}));
      }
      const choice = this.choose();
      if (choice === undefined) {
        break;
      }
      const reason = count === 0 ? 'first' : 'retry';
      const results = await this.tryAt(choice, reason);
      const answered = results.find(result => result.ok);
      if (answered?.ok) {
        return success(answered.value);
      }
      if (!results.every(result => this.mayTryAgain(result))) {
        break;
      }
      await this.pause(count);
    }
    return failure(this.failureFor(this.lastError));
  }

  private isOver(): boolean {
    const now = this.parts.clock.monotonicMilliseconds();
    return this.token.isCancelled || now >= this.request.deadlineAt;
  }

  private choose(): ChosenReplica | undefined {
    const {service} = this.request;
    const choice = this.parts.broker.chooseService(service, this.tried);
    if (choice.kind === 'none') {
      this.retryAfter ??= choice.retryAfterMilliseconds;
      return undefined;
    }
    this.tried.push(choice.upstream);
    return choice;
  }

  /** Tries one replica, and a second one when a repeatable call takes longer than 95 in 100. */
  private async tryAt(
    choice: ChosenReplica,
    reason: AttemptReason,
  ): Promise<readonly AttemptResult[]> {
    const source = new CancellationSource(this.token);
    try {
      const first = this.call(choice, reason, source.token);
      if (!(await this.isSlow(first))) {
        return [await first];
      }
      const other = this.chooseHedge();
      if (other === undefined) {
        return [await first];
      }
      const second = this.call(other, 'hedge', source.token);
      return await firstSuccess([first, second]);
    } finally {
      source.cancel(ANOTHER_ANSWERED);
      source.dispose();
    }
  }

  private isSlow(call: Promise<AttemptResult>): Promise<boolean> {
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
    if (this.isOver() || !this.parts.budget.take()) {
      return undefined;
    }
    return this.choose();
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
    this.attempts.push(attempt.note);
    return attempt.run(token, error => this.noteError(error));
  }

  private noteError(error: ServiceError): void {
    switch (error.kind) {
      case 'unreachable':
        break;
      case 'refused':
        this.retryAfter = error.retryAfterMilliseconds;
        break;
      case 'lost':
      case 'mismatch':
        this.mayHaveRun = true;
        break;
    }
    this.lastError = {kind: 'upstreamFailed', detail: error.kind};
    if (error.kind !== 'refused') {
      this.retryAfter ??= RETRY_AFTER_MILLISECONDS;
    }
  }

  /** A connection that was never made costs the service nothing, and so nothing of the budget. */
  private mayTryAgain(result: AttemptResult): boolean {
    if (result.ok || result.error.kind === 'unreachable') {
      return true;
    }
    const isSafe = this.repeatable || result.error.kind === 'refused';
    return isSafe && this.parts.budget.take();
  }

  /** Full jitter, so that callers that failed together don't come back together. */
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

/** The first success alone, or all failures. */
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
