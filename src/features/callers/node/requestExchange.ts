import {
  CancellationSource,
  CancellationToken,
} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {Disposable, DisposableStore} from '../../../base/common/lifecycle.js';
import {TokenSink} from '../../pipeline/common/pipelineDriver.js';
import {RequestError, RequestFailure} from '../../requests/common/failure.js';
import {RequestOutcome} from '../../requests/common/request.js';
import {errorEvent} from '../common/chatReply.js';
import {ResponseContent} from '../common/claimActions.js';
import {
  maybeExecuted,
  notExecuted,
  toFailureBody,
} from '../common/failureBody.js';
import {ReplyFormat} from '../common/replyFormat.js';
import {RequestEvent, RequestLifecycle} from '../common/requestLifecycle.js';
import {CallerResponse} from './callerResponse.js';
import {ClaimedKey, KeyClaim, KeyClaimDependencies} from './keyClaim.js';
import {sendRecordedReply, sendReply} from './sendReply.js';
import {settleWork, WorkResult} from './settleWork.js';

/** Milliseconds for aborted work to report whether it ran, before the failure is sent as `executed: unknown`. */
const ABORT_GRACE_MILLISECONDS = 50;

/** How a valid request is to be executed and answered. */
export interface ExchangePlan {
  /** Undefined for repeatable work. */
  readonly claimedKey: ClaimedKey | undefined;
  /** Monotonic milliseconds by which the complete response is due. */
  readonly deadlineAt: number;
  readonly format: ReplyFormat;
  readonly work: (
    sink: TokenSink,
    token: CancellationToken,
  ) => Promise<WorkResult>;
}

/** Dependencies of {@link RequestExchange}. */
export interface ExchangeDependencies extends KeyClaimDependencies {
  readonly clock: Clock;
}

/** Result of a request, for its log line. */
export interface ExchangeSummary {
  readonly state: string;
  readonly failure: RequestFailure | undefined;
  /** Monotonic milliseconds. */
  readonly firstTokenAt: number | undefined;
  readonly tokenCount: number;
}

/** A caller's request and its response; {@link RequestLifecycle} determines the actions on each event. */
export class RequestExchange implements Disposable {
  private readonly disposables = new DisposableStore();
  private readonly source = this.disposables.add(new CancellationSource());
  private readonly lifecycle: RequestLifecycle;
  private plan: ExchangePlan | undefined;
  private keyClaim: KeyClaim | undefined;
  private failure: RequestFailure | undefined;
  private responseContent: ResponseContent | undefined;
  private abortError: RequestError | undefined;
  private isWorking = false;
  private firstTokenAt: number | undefined;
  private tokenCount = 0;
  private resolveEnded: () => void = () => undefined;

  /** Resolves once the response has been written and no work of the request is left. */
  readonly ended = new Promise<void>(resolve => {
    this.resolveEnded = resolve;
  });

  constructor(
    private readonly response: CallerResponse,
    private readonly services: ExchangeDependencies,
  ) {
    this.lifecycle = new RequestLifecycle({
      startClaim: () => void this.claim(),
      startWork: () => void this.work(),
      cancelWork: () => this.cancelWork(),
      openStream: () =>
        this.response.startEventStream(this.plan!.format.opening()),
      sendReply: () =>
        sendReply(
          response,
          this.plan!.format,
          this.responseContent!,
          this.tokenCount,
        ),
      sendRecorded: () =>
        sendRecordedReply(response, this.plan!.format, this.responseContent!),
      sendFailure: () => this.response.sendFailure(this.failure!),
      sendErrorEvent: () =>
        this.response.endWith(errorEvent(toFailureBody(this.failure!))),
      recordOutcome: () => this.keyClaim?.record(this.outcome()),
      recordNotRun: () =>
        this.keyClaim?.record({
          kind: 'failed',
          failure: notExecuted(this.abortError ?? {kind: 'callerGone'}),
        }),
    });
  }

  get summary(): ExchangeSummary {
    return {
      state: this.lifecycle.state,
      failure: this.failure,
      firstTokenAt: this.firstTokenAt,
      tokenCount: this.tokenCount,
    };
  }

  /** Responds with a failure before any work has started. */
  refuse(failure: RequestFailure): void {
    this.failure = failure;
    this.send('refused');
  }

  /** Marks the request as authenticated, before its body is read. */
  authenticated(): void {
    this.send('authenticated');
  }

  /** Starts the work of a valid request; claims its key first when it has one. */
  start(plan: ExchangePlan): void {
    this.plan = plan;
    const {claimedKey} = plan;
    if (claimedKey !== undefined) {
      this.keyClaim = new KeyClaim(claimedKey, this.services);
    }
    const {clock} = this.services;
    const remainingMilliseconds =
      plan.deadlineAt - clock.monotonicMilliseconds();
    const onDeadline = () => this.abort({kind: 'deadlineExceeded'});
    this.disposables.add(
      clock.setTimer(Math.max(0, remainingMilliseconds), onDeadline),
    );
    this.send(claimedKey ? 'claimNeeded' : 'claimNotNeeded');
  }

  /** Cancels the request after the caller disconnected or stopped reading. */
  callerGone(): void {
    const error: RequestError = {kind: 'callerGone'};
    this.failure ??= this.isWorking ? maybeExecuted(error) : notExecuted(error);
    this.send('callerGone');
  }

  /** Aborts the work. The response is sent when the work ends, or after a grace period without its result. */
  abort(error: RequestError): void {
    if (!this.isWorking || this.abortError !== undefined) {
      return;
    }
    this.abortError = error;
    this.source.cancel(error.kind);
    const failWithoutResult = () => {
      this.failure = maybeExecuted(error);
      this.send('givenUp');
    };
    const {clock} = this.services;
    this.disposables.add(
      clock.setTimer(ABORT_GRACE_MILLISECONDS, failWithoutResult),
    );
  }

  dispose(): void {
    this.disposables.dispose();
  }

  private send(event: RequestEvent): void {
    this.lifecycle.send(event);
    const {state} = this.lifecycle;
    const answered =
      state === 'completed' || state === 'failed' || state === 'cancelled';
    if (answered && !this.isWorking) {
      this.dispose();
      this.resolveEnded();
    }
  }

  private async claim(): Promise<void> {
    this.isWorking = true;
    const action = await this.keyClaim!.decide(this.source.token);
    this.isWorking = false;
    switch (action.kind) {
      case 'run':
        this.send('granted');
        return;
      case 'refuse':
        this.refuse(action.failure);
        return;
      default:
        this.replay(action.answer);
    }
  }

  private replay(content: ResponseContent): void {
    const body = this.plan!.format.replay(content);
    if (body === undefined) {
      this.refuse({
        error: {kind: 'duplicate'},
        executed: 'yes',
        retryAfterMilliseconds: undefined,
        addresses: [],
      });
      return;
    }
    this.responseContent = {...content, body};
    this.send('replayed');
  }

  private async work(): Promise<void> {
    this.isWorking = true;
    const {clock, onUnexpectedError} = this.services;
    const {token} = this.source;
    const sink: TokenSink = (text, index) => this.acceptToken(text, index);
    const work = () => this.plan!.work(sink, token);
    const result = await settleWork(work, token, clock, onUnexpectedError);
    this.isWorking = false;
    if (result.ok) {
      this.responseContent = result.value;
      this.send('replied');
      return;
    }
    const error = this.abortError ?? result.error.error;
    this.failure = {...result.error, error};
    this.send('workFailed');
  }

  private acceptToken(token: string, index: number): void | Promise<void> {
    this.tokenCount += 1;
    this.firstTokenAt ??= this.services.clock.monotonicMilliseconds();
    const {format} = this.plan!;
    if (!format.isStreaming) {
      return undefined;
    }
    if (this.lifecycle.state === 'admitted') {
      this.send('token');
    }
    if (this.lifecycle.state !== 'streaming') {
      return undefined;
    }
    return this.response.writeEvent(format.token(token, index));
  }

  private cancelWork(): void {
    this.source.cancel(this.abortError?.kind ?? 'callerGone');
  }

  private outcome(): RequestOutcome {
    if (this.responseContent !== undefined) {
      return {kind: 'completed', ...this.responseContent};
    }
    return {kind: 'failed', failure: this.failure!};
  }
}
