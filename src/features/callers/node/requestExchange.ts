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
import {CallerAnswer} from '../common/claimAnswers.js';
import {
  maybeExecuted,
  notExecuted,
  toFailureBody,
} from '../common/failureBody.js';
import {ReplyFormat} from '../common/replyFormat.js';
import {RequestEvent, RequestLifecycle} from '../common/requestLifecycle.js';
import {CallerResponse} from './callerResponse.js';
import {ClaimedKey, KeyClaim, KeyClaimServices} from './keyClaim.js';
import {sendRecorded, sendReply} from './replySending.js';
import {settledWork, WorkResult} from './settledWork.js';

/** Milliseconds that given-up work has to say truthfully whether it ran, before the answer is sent without it. */
const GIVE_UP_GRACE_MILLISECONDS = 50;

/** What a valid request comes to. */
export interface ExchangePlan {
  /** Undefined for work that may be repeated. */
  readonly claimedKey: ClaimedKey | undefined;
  /** Monotonic milliseconds by which the whole answer is due. */
  readonly deadlineAt: number;
  readonly format: ReplyFormat;
  readonly work: (
    sink: TokenSink,
    token: CancellationToken,
  ) => Promise<WorkResult>;
}

/** What an exchange works with. */
export interface ExchangeServices extends KeyClaimServices {
  readonly clock: Clock;
}

/** How a request ended, for its log line. */
export interface ExchangeSummary {
  readonly state: string;
  readonly failure: RequestFailure | undefined;
  /** Monotonic milliseconds. */
  readonly firstTokenAt: number | undefined;
  readonly tokenCount: number;
}

/** One request of a caller and its answer; the life cycle chart decides what is done when. */
export class RequestExchange implements Disposable {
  private readonly owned = new DisposableStore();
  private readonly source = this.owned.add(new CancellationSource());
  private readonly lifecycle: RequestLifecycle;
  private plan: ExchangePlan | undefined;
  private keyClaim: KeyClaim | undefined;
  private failure: RequestFailure | undefined;
  private answer: CallerAnswer | undefined;
  private givenUpFor: RequestError | undefined;
  private working = false;
  private firstTokenAt: number | undefined;
  private tokenCount = 0;
  private resolveEnded: () => void = () => undefined;

  /** Resolves when the answer was handed over and no work of the request is left. */
  readonly ended = new Promise<void>(resolve => {
    this.resolveEnded = resolve;
  });

  constructor(
    private readonly response: CallerResponse,
    private readonly services: ExchangeServices,
  ) {
    this.lifecycle = new RequestLifecycle({
      startClaim: () => void this.claim(),
      startWork: () => void this.work(),
      cancelWork: () => this.cancelWork(),
      openStream: () => this.response.openEvents(this.plan!.format.opening()),
      sendReply: () =>
        sendReply(response, this.plan!.format, this.answer!, this.tokenCount),
      sendRecorded: () =>
        sendRecorded(response, this.plan!.format, this.answer!),
      sendFailure: () => this.response.sendFailure(this.failure!),
      sendErrorEvent: () =>
        this.response.finish(errorEvent(toFailureBody(this.failure!))),
      recordOutcome: () => this.keyClaim?.record(this.outcome()),
      recordNotRun: () =>
        this.keyClaim?.record({
          kind: 'failed',
          failure: notExecuted(this.givenUpFor ?? {kind: 'callerGone'}),
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

  /** Answers with a failure before any work. */
  refuse(failure: RequestFailure): void {
    this.failure = failure;
    this.send('refused');
  }

  /** The caller is known; its request is being read. */
  authenticated(): void {
    this.send('authenticated');
  }

  /** Starts the work of a valid request, after its claim where one is needed. */
  start(plan: ExchangePlan): void {
    this.plan = plan;
    const {claimedKey} = plan;
    if (claimedKey !== undefined) {
      this.keyClaim = new KeyClaim(claimedKey, this.services);
    }
    const {clock} = this.services;
    const left = plan.deadlineAt - clock.monotonicMilliseconds();
    const giveUp = () => this.giveUp({kind: 'deadlineExceeded'});
    this.owned.add(clock.setTimer(Math.max(0, left), giveUp));
    this.send(claimedKey ? 'claimNeeded' : 'claimNotNeeded');
  }

  /** The caller has gone or stopped reading. */
  callerGone(): void {
    const error: RequestError = {kind: 'callerGone'};
    this.failure ??= this.working ? maybeExecuted(error) : notExecuted(error);
    this.send('callerGone');
  }

  /** Ends the work early; the answer goes out at once, or after a short grace if the work can still say more. */
  giveUp(error: RequestError): void {
    if (!this.working || this.givenUpFor !== undefined) {
      return;
    }
    this.givenUpFor = error;
    this.source.cancel(error.kind);
    const answerWithoutIt = () => {
      this.failure = maybeExecuted(error);
      this.send('givenUp');
    };
    const {clock} = this.services;
    this.owned.add(clock.setTimer(GIVE_UP_GRACE_MILLISECONDS, answerWithoutIt));
  }

  dispose(): void {
    this.owned.dispose();
  }

  private send(event: RequestEvent): void {
    this.lifecycle.send(event);
    const {state} = this.lifecycle;
    const answered =
      state === 'completed' || state === 'failed' || state === 'cancelled';
    if (answered && !this.working) {
      this.dispose();
      this.resolveEnded();
    }
  }

  private async claim(): Promise<void> {
    this.working = true;
    const answer = await this.keyClaim!.decide(this.source.token);
    this.working = false;
    switch (answer.kind) {
      case 'run':
        this.send('granted');
        return;
      case 'refuse':
        this.refuse(answer.failure);
        return;
      default:
        this.replay(answer.answer);
    }
  }

  private replay(answer: CallerAnswer): void {
    const body = this.plan!.format.replay(answer);
    if (body === undefined) {
      this.refuse({
        error: {kind: 'duplicate'},
        executed: 'yes',
        retryAfterMilliseconds: undefined,
        addresses: [],
      });
      return;
    }
    this.answer = {...answer, body};
    this.send('replayed');
  }

  private async work(): Promise<void> {
    this.working = true;
    const {clock, onUnexpected} = this.services;
    const {token} = this.source;
    const sink: TokenSink = (text, index) => this.accept(text, index);
    const work = () => this.plan!.work(sink, token);
    const result = await settledWork(work, token, clock, onUnexpected);
    this.working = false;
    if (result.ok) {
      this.answer = result.value;
      this.send('replied');
      return;
    }
    const error = this.givenUpFor ?? result.error.error;
    this.failure = {...result.error, error};
    this.send('workFailed');
  }

  private accept(token: string, index: number): void | Promise<void> {
    this.tokenCount += 1;
    this.firstTokenAt ??= this.services.clock.monotonicMilliseconds();
    const {format} = this.plan!;
    if (!format.streams) {
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
    this.source.cancel(this.givenUpFor?.kind ?? 'callerGone');
  }

  private outcome(): RequestOutcome {
    if (this.answer !== undefined) {
      return {kind: 'completed', ...this.answer};
    }
    return {kind: 'failed', failure: this.failure!};
  }
}
