import {Disposable, DisposableStore} from '../../../base/common/lifecycle.js';
import {AnswerHead, CallerExchange} from '../common/callerExchange.js';
import {NotRunReason, retryAfterMilliseconds} from '../common/retryAfter.js';
import {UpstreamRequest} from '../common/upstreamExchange.js';
import {RequestFacts, UpstreamAdditions} from '../common/wire.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {Route} from '../../traffic/common/trafficConfiguration.js';
import {ForwardingServices} from './forwardingServices.js';

/** A request that was admitted, with all that decides how it is forwarded. */
export interface AdmittedRequest {
  readonly id: string;
  readonly facts: RequestFacts;
  readonly route: Route;
  readonly service: string;
  readonly account: string | undefined;
  readonly priority: number;
  readonly body: Uint8Array;
  /** Monotonic milliseconds at which the caller's or the route's time is over. */
  readonly deadlineAt: number;
  /** Version of the configuration that decided. */
  readonly configurationVersion: number;
  /** Milliseconds since that was confirmed. */
  readonly configurationAge: number;
}

/** What differs between the sendings of a request. */
type SendingFacts = Pick<UpstreamAdditions, 'path' | 'lastEvent'> &
  Pick<UpstreamRequest, 'isAlone'>;

/** Forwards one request until its caller has a final answer or has left. */
export abstract class RequestRun implements Disposable {
  protected readonly owned = new DisposableStore();
  private isFinished = false;
  private onDone: () => void = () => undefined;

  constructor(
    protected readonly services: ForwardingServices,
    protected readonly exchange: CallerExchange,
    protected readonly admitted: AdmittedRequest,
  ) {}

  /** Runs; resolves when the request has ended. */
  run(): Promise<void> {
    const done = new Promise<void>(resolve => (this.onDone = resolve));
    this.owned.add(this.exchange.onDidLeave(() => this.finish('callerLeft')));
    if (this.exchange.isOver) {
      this.finish('callerLeft');
      return done;
    }
    const timer = this.services.clock.setTimer(Math.max(0, this.timeLeft), () =>
      this.onTimeOver(),
    );
    this.owned.add(timer);
    this.begin();
    return done;
  }

  dispose(): void {
    this.owned.dispose();
  }

  /** Makes the first attempt. */
  protected abstract begin(): void;

  /** The caller's time is over. */
  protected abstract onTimeOver(): void;

  /** What the closing log line says beside the common fields. */
  protected abstract describe(): Readonly<Record<string, unknown>>;

  protected get isDone(): boolean {
    return this.isFinished;
  }

  protected get now(): number {
    return this.services.clock.monotonicMilliseconds();
  }

  /** Milliseconds until the caller's or the route's time is over. */
  protected get timeLeft(): number {
    return this.admitted.deadlineAt - this.now;
  }

  /** Whether there is time for another attempt. */
  protected get hasTime(): boolean {
    return this.timeLeft > this.services.settings.leastTimeLeftMilliseconds;
  }

  protected get elapsed(): number {
    return this.now - this.exchange.request.receivedAt;
  }

  /** The caller's request as it is sent to an upstream now. */
  protected upstreamRequest(
    upstream: Upstream,
    {path, lastEvent, isAlone}: SendingFacts,
  ): UpstreamRequest {
    const {admitted, exchange, services} = this;
    const {method, target, headers} = exchange.request;
    const sent = services.wire.upstreamHeaders(headers, {
      deadlineMilliseconds: Math.max(1, Math.floor(this.timeLeft)),
      upstream,
      account: admitted.account,
      priority: admitted.priority,
      path,
      lastEvent,
    });
    return {
      method,
      target,
      headers: sent,
      body: admitted.body,
      connectMilliseconds: services.settings.connectMilliseconds,
      isAlone,
    };
  }

  /** The request has surely not run: says so, and when to come back. */
  protected refuse(reason: NotRunReason): void {
    if (this.isDone) {
      return;
    }
    const wait = retryAfterMilliseconds(
      reason,
      this.timeLeft,
      this.services.random.next(),
    );
    this.exchange.sendOwn({
      kind: 'notRun',
      reason,
      retryAfterMilliseconds: wait,
    });
    this.finish('notRun', {reason, retryAfter: wait});
  }

  /** The request may have run: says that it failed and no more. */
  protected fail(status: 502 | 504, reason: string): void {
    if (this.isDone) {
      return;
    }
    const outcome = this.exchange.hasBegun ? 'brokenOff' : 'failed';
    this.exchange.sendOwn({kind: 'failed', status, reason});
    this.finish(outcome, {status, reason});
  }

  /** Hands an upstream's whole answer on. */
  protected sendWhole(head: AnswerHead, body: Uint8Array): void {
    this.exchange.sendWhole(head, body);
    this.services.metrics.noteFirst(this.admitted.route.kind, this.elapsed);
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
    const {admitted, services} = this;
    services.metrics.noteEnd(admitted.route.kind, outcome, this.elapsed);
    services.logger.decision('requestEnded', {
      request: admitted.id,
      route: admitted.route.name,
      service: admitted.service,
      account: admitted.account,
      outcome,
      ...fields,
      milliseconds: Math.round(this.elapsed),
      configuration: admitted.configurationVersion,
      configurationAge: Math.round(admitted.configurationAge),
      listAge: Math.round(services.directory.age),
      ...this.describe(),
    });
    this.dispose();
    this.onDone();
  }

  /** Writes a line about a step of the request. */
  protected note(
    decision: string,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    this.services.logger.decision(decision, {
      request: this.admitted.id,
      ...fields,
    });
  }
}
