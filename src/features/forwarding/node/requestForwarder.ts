import {describeError} from '../../../base/common/describeError.js';
import {Disposable, DisposableStore} from '../../../base/common/lifecycle.js';
import {CallerExchange, ResponseHead} from '../common/callerExchange.js';
import {NotRunReason} from '../common/retryAfter.js';
import {UpstreamRequest} from '../common/upstreamExchange.js';
import {UpstreamHeaderValues} from '../common/headerCodec.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {describeStopTimes} from '../common/stopWindow.js';
import {AdmittedRequest} from './admittedRequest.js';
import {ForwardingServices} from './forwardingServices.js';
import {guardServices} from './guardedServices.js';
import {notRunDelay} from './notRunDelay.js';
import {RequestLossWatch} from './requestLossWatch.js';
import {RequestInProgress} from './requestsInProgress.js';

/** Parameters that differ between the attempts of a request. */
type AttemptParameters = Pick<UpstreamHeaderValues, 'path' | 'lastEvent'> &
  Pick<UpstreamRequest, 'isAlone'>;

/** Statuses by which the router promises callers that a request was not executed and never will be. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Why a request ends before its answer is whole, as its caller is told. */
export interface EarlyEnd {
  /** Status and reason if an upstream may have run it. */
  readonly status: 502 | 504;
  readonly reason: string;
  /** Reason if it was certainly not run. */
  readonly notRunReason: NotRunReason;
}

const DEADLINE_PASSED: EarlyEnd = {
  status: 504,
  reason: 'no whole answer in time',
  notRunReason: 'timeOver',
};

const INSTANCE_STOPS: EarlyEnd = {
  status: 502,
  reason: 'stopping',
  notRunReason: 'stopping',
};

/** Forwards one request until its caller has a final response or has disconnected. */
export abstract class RequestForwarder
  implements Disposable, RequestInProgress
{
  protected readonly owned = new DisposableStore();
  /** Their timers and responses end this request if they throw. */
  protected readonly services: ForwardingServices;
  protected readonly lossWatch: RequestLossWatch;
  private isFinished = false;
  private resolveDone: () => void = () => undefined;

  constructor(
    services: ForwardingServices,
    protected readonly exchange: CallerExchange,
    protected readonly admitted: AdmittedRequest,
  ) {
    this.services = guardServices(services, callback => this.guard(callback));
    this.lossWatch = new RequestLossWatch(
      this.services,
      admitted,
      exchange.request,
    );
  }

  /** Starts forwarding; resolves when the request has ended. */
  run(): Promise<void> {
    const done = new Promise<void>(resolve => (this.resolveDone = resolve));
    this.owned.add(
      this.exchange.onDidDisconnect(() => this.finish('callerLeft')),
    );
    this.owned.add(this.exchange.onDidFail(() => this.finish('unwritable')));
    if (this.exchange.isOver) {
      this.finish('callerLeft');
      return done;
    }
    this.startDeadlineTimer();
    this.guard(() => this.startFirstAttempt());
    return done;
  }

  /** Timers of Node.js count whole milliseconds and may run a part of one early; no request ends before its time. */
  private startDeadlineTimer(): void {
    const milliseconds = Math.ceil(Math.max(0, this.remainingMilliseconds));
    const timer = this.services.clock.setTimer(milliseconds, () => {
      this.owned.delete(timer);
      if (this.remainingMilliseconds > 0) {
        this.startDeadlineTimer();
      } else {
        this.endEarly(DEADLINE_PASSED);
      }
    });
    this.owned.add(timer);
  }

  endForStop(): void {
    this.guard(() => this.endEarly(INSTANCE_STOPS));
  }

  dispose(): void {
    this.owned.dispose();
  }

  protected abstract startFirstAttempt(): void;

  /** Ends the request although its answer is not whole. */
  protected abstract endEarly(end: EarlyEnd): void;

  /** Additional fields of the `requestEnded` log line. */
  protected abstract logFields(): Readonly<Record<string, unknown>>;

  protected get isDone(): boolean {
    return this.isFinished;
  }

  protected get now(): number {
    return this.services.clock.monotonicMilliseconds();
  }

  /** Milliseconds until the caller's or the route's time limit ends. */
  protected get remainingMilliseconds(): number {
    return this.admitted.deadlineAt - this.now;
  }

  /** Whether this instance stops and may end the request before its answer is whole. */
  protected get mayBeCutOff(): boolean {
    return this.services.stop.mayCutOff(this.admitted.deadlineAt);
  }

  /** Whether enough time is left for another attempt. */
  protected get hasTimeForAttempt(): boolean {
    return (
      this.remainingMilliseconds >
      this.services.settings.leastTimeLeftMilliseconds
    );
  }

  protected get elapsedMilliseconds(): number {
    return this.now - this.exchange.request.receivedAt;
  }

  /** Creates the request as it is sent to an upstream now. */
  protected createUpstreamRequest(
    upstream: Upstream,
    {path, lastEvent, isAlone}: AttemptParameters,
  ): UpstreamRequest {
    const {admitted, exchange, services} = this;
    const {method, target, headers} = exchange.request;
    const upstreamMilliseconds = admitted.upstreamDeadlineAt - this.now;
    const sentHeaders = services.headerCodec.upstreamHeaders(headers, {
      deadlineMilliseconds: Math.max(1, Math.floor(upstreamMilliseconds)),
      upstream,
      account: admitted.account,
      priority: admitted.priority,
      path,
      lastEvent,
    });
    return {
      method,
      target,
      headers: sentHeaders,
      body: admitted.body,
      connectMilliseconds: services.settings.connectMilliseconds,
      isAlone,
    };
  }

  /**
   * Ends a request that was certainly not executed, and tells the caller when to retry.
   * @param causeEndsInMilliseconds time until the cause ends, where it is known
   */
  protected refuse(
    reason: NotRunReason,
    causeEndsInMilliseconds?: number,
  ): void {
    if (this.isDone) {
      return;
    }
    const {remainingMilliseconds} = this;
    const delay = notRunDelay(this.services, {
      reason,
      remainingMilliseconds,
      causeEndsInMilliseconds,
    });
    this.exchange.sendRouterResponse({
      kind: 'notRun',
      reason,
      retryAfterMilliseconds: delay,
    });
    this.finish('notRun', {reason, retryAfter: delay});
  }

  /** Ends a request that may have been executed with an error response. */
  protected fail(status: 502 | 504, reason: string): void {
    if (this.isDone) {
      return;
    }
    const outcome = this.exchange.hasBegun ? 'brokenOff' : 'failed';
    this.exchange.sendRouterResponse({kind: 'failed', status, reason});
    this.finish(outcome, {status, reason});
  }

  /**
   * Forwards an upstream's complete response and ends the request. Callers may repeat a request after some statuses, so one
   * that must run once gets another status if the upstream doesn't say that it has not run.
   */
  protected forwardResponse(head: ResponseHead, body: Uint8Array): void {
    const isIdempotent = this.admitted.route.kind === 'safe';
    if (!isIdempotent && NOT_RUN_STATUSES.has(head.status)) {
      this.fail(
        502,
        `the upstream answered ${head.status} and may have run it`,
      );
      return;
    }
    if (!this.exchange.sendResponse(head, body)) {
      this.finish('unwritable', {status: head.status});
      return;
    }
    this.services.metrics.recordFirstOutput(
      this.admitted.route.kind,
      this.elapsedMilliseconds,
    );
    this.finish('answered', {status: head.status});
  }

  protected finish(
    outcome: string,
    fields: Readonly<Record<string, unknown>> = {},
  ): void {
    if (this.isFinished) {
      return;
    }
    this.isFinished = true;
    try {
      this.recordEnd(outcome, fields);
    } finally {
      this.resolveDone();
      this.dispose();
    }
  }

  private recordEnd(
    outcome: string,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    const {admitted, exchange, services} = this;
    const {window} = services.stop;
    services.metrics.recordEnd(
      admitted.route.kind,
      outcome,
      this.elapsedMilliseconds,
    );
    this.lossWatch.recordEnd(outcome === 'answered');
    services.logger.decision('requestEnded', {
      request: admitted.id,
      route: admitted.route.name,
      service: admitted.service,
      account: admitted.account,
      outcome,
      ...fields,
      milliseconds: Math.round(this.elapsedMilliseconds),
      configuration: admitted.configurationVersion,
      configurationAge: Math.round(admitted.configurationAge),
      listAge: Math.round(services.directory.age),
      ...this.logFields(),
      stop:
        window &&
        describeStopTimes(window, exchange.request.receivedAt, this.now),
    });
  }

  /** Runs a callback; an error that it throws ends the request, which may have been executed. */
  private guard(callback: () => void): void {
    try {
      callback();
    } catch (error) {
      this.logError(error);
      this.failAfterError();
    }
  }

  private failAfterError(): void {
    try {
      this.fail(502, 'internal error');
    } catch (error) {
      this.logError(error);
    }
  }

  private logError(error: unknown): void {
    this.services.logger.error('unexpected error', {
      request: this.admitted.id,
      ...describeError(error),
    });
  }

  /** Logs a decision together with the request's identifier. */
  protected logDecision(
    decision: string,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    this.services.logger.decision(decision, {
      request: this.admitted.id,
      ...fields,
    });
  }
}
