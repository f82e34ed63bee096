import {Disposable} from '../../../base/common/lifecycle.js';
import {chooseTarget} from '../../traffic/common/chooseTarget.js';
import {EngineSettings} from '../../traffic/common/trafficConfiguration.js';
import {RouteTable} from '../../traffic/common/routeTable.js';
import {ArrivalQueue} from '../common/arrivalQueue.js';
import {
  BodyOutcome,
  CallerExchange,
  RouterResponse,
} from '../common/callerExchange.js';
import {describeStopTimes, StopWindow} from '../common/stopWindow.js';
import {NotRunReason} from '../common/retryAfter.js';
import {RequestMetadata} from '../common/headerCodec.js';
import {ForwardingServices} from './forwardingServices.js';
import {PlainForwarder} from './plainForwarder.js';
import {AdmittedRequest} from './admittedRequest.js';
import {
  Admission,
  deadlineOf,
  DEFAULT_DEADLINE_MILLISECONDS,
  rejection,
  RequestAdmission,
  upstreamDeadlineOf,
} from './requestAdmission.js';
import {RequestForwarder} from './requestForwarder.js';
import {HandledRequest} from './handledRequest.js';
import {notRunDelay} from './notRunDelay.js';
import {RequestsInProgress} from './requestsInProgress.js';
import {StreamForwarder} from './streamForwarder.js';
import {StreamMonitor} from './streamMonitor.js';

/** Stands in for the engine of a stream service that describes none: unlimited memory and no layers. */
const UNBOUNDED_ENGINE: EngineSettings = {
  slots: Infinity,
  kvTokens: Infinity,
  kvTokenBytes: 1,
  tokensPerEvent: 1,
  stepMilliseconds: 1,
  promptTokensPerSecond: 1_000_000,
  usualPromptTokens: 0,
  usualAnswerTokens: 0,
  reportLagMilliseconds: 0,
  models: [],
  delays: [],
  layers: undefined,
};

/** Decides whether to admit each request of a caller and forwards those that are admitted. */
export class RequestHandler {
  private readonly inProgress = new RequestsInProgress();
  private readonly arrivals: ArrivalQueue;
  private readonly admission: RequestAdmission;
  private unnamedCount = 0;

  constructor(
    private readonly services: ForwardingServices,
    private readonly monitor: StreamMonitor,
  ) {
    this.arrivals = new ArrivalQueue(services.eventLoop);
    this.admission = new RequestAdmission(services);
  }

  /** Number of requests without a final response. */
  get count(): number {
    return this.inProgress.count;
  }

  /** From now on, takes only requests that are certain to end in the time of the stop. */
  beginStop(window: StopWindow): void {
    this.services.stop.begin(window);
  }

  /** Ends all requests in progress because the time of the stop is over. */
  endAll(): void {
    this.inProgress.endAll();
  }

  /** Resolves once no request is in progress. */
  idle(): Promise<void> {
    return this.inProgress.idle();
  }

  /** Handles one request until it has ended. */
  async handle(exchange: CallerExchange): Promise<void> {
    const {target, headers} = exchange.request;
    exchange.onDidFail(detail =>
      this.services.logger.error('response not written', {target, detail}),
    );
    const request = new HandledRequest(
      exchange,
      this.services.headerCodec.readRequest(headers),
      this.arrivals.earliestArrival(exchange.request),
      unsent => this.respond(unsent, {kind: 'refused', reason: 'stopping'}),
    );
    const entry = this.inProgress.add(request);
    try {
      await this.process(request);
    } finally {
      entry.dispose();
    }
  }

  private async process(request: HandledRequest): Promise<void> {
    await this.arrivals.turn(
      request.mayHaveWaited,
      () => request.exchange.isOver,
    );
    if (request.exchange.isOver) {
      this.recordLeft(request);
      return;
    }
    const initial = await this.admission.admit(request);
    if (initial.kind !== 'admitted') {
      this.respond(request, initial);
      return;
    }
    const {limits} = initial.table.configuration;
    const outcome = await this.readBodyInTime(
      request.exchange,
      limits.bodyBytes,
      deadlineOf(request, initial.route),
    );
    switch (outcome.kind) {
      case 'timeOver':
        return this.respond(request, {kind: 'refused', reason: 'timeOver'});
      case 'tooLong':
        return this.respond(request, rejection(413, 'body too long'));
      case 'noMemory':
        return this.respond(request, {kind: 'refused', reason: 'noMemory'});
      case 'callerLeft':
        return this.recordLeft(request);
      case 'read':
        return this.forwardIfAdmitted(request, outcome.body);
    }
  }

  /** Reads a body until the time limit of its request; it may never end. */
  private async readBodyInTime(
    exchange: CallerExchange,
    limitBytes: number,
    deadlineAt: number,
  ): Promise<BodyOutcome | {readonly kind: 'timeOver'}> {
    const milliseconds = Math.max(0, this.millisecondsUntil(deadlineAt));
    let timer: Disposable | undefined;
    const timeOver = new Promise<{readonly kind: 'timeOver'}>(resolve => {
      timer = this.services.clock.setTimer(milliseconds, () => {
        exchange.stopReading();
        resolve({kind: 'timeOver'});
      });
    });
    const outcome = await Promise.race([
      exchange.readBody(limitBytes),
      timeOver,
    ]);
    timer?.dispose();
    return outcome;
  }

  private async forwardIfAdmitted(
    request: HandledRequest,
    body: Uint8Array,
  ): Promise<void> {
    // Reading the body may take long, so the configuration that is now in force decides.
    const admission = await this.admission.admit(request);
    if (admission.kind !== 'admitted') {
      this.respond(request, admission);
      return;
    }
    await this.forward(request, admission, body);
  }

  private respond(
    request: HandledRequest,
    decision: Exclude<Admission, {kind: 'admitted'}>,
  ): void {
    const {exchange, facts} = request;
    const response =
      decision.kind === 'answer'
        ? decision.answer
        : this.notRun(decision.reason, facts);
    exchange.sendRouterResponse(response);
    const {clock, configuration, logger, metrics, stop} = this.services;
    metrics.recordEnd('none', response.kind, 0);
    logger.decision('requestRefused', {
      request: facts.id,
      host: facts.host,
      target: exchange.request.target,
      ...response,
      configuration: configuration.table?.configuration.version,
      configurationAge: Math.round(configuration.age),
      timeLimit: decision.kind === 'refused' ? decision.timeLimit : undefined,
      unread: unreadMilliseconds(request),
      stop:
        stop.window &&
        describeStopTimes(
          stop.window,
          exchange.request.receivedAt,
          clock.monotonicMilliseconds(),
        ),
    });
  }

  /** Records a request whose caller has left before its body was read. */
  private recordLeft(request: HandledRequest): void {
    if (request.isRefused) {
      return;
    }
    const outcome = 'callerLeft';
    this.services.metrics.recordEnd('none', outcome, 0);
    this.services.logger.decision('requestEnded', {
      request: request.facts.id,
      outcome,
      reason: 'before it was read whole',
      unread: unreadMilliseconds(request),
    });
  }

  private logTakenWhileStopping(
    {exchange}: HandledRequest,
    {id, deadlineAt}: AdmittedRequest,
  ): void {
    const {clock, logger, stop} = this.services;
    if (stop.window !== undefined) {
      logger.decision('takenWhileStopping', {
        request: id,
        timeLimit: this.millisecondsUntil(deadlineAt),
        stop: describeStopTimes(
          stop.window,
          exchange.request.receivedAt,
          clock.monotonicMilliseconds(),
        ),
      });
    }
  }

  private millisecondsUntil(moment: number): number {
    return Math.round(moment - this.services.clock.monotonicMilliseconds());
  }

  private notRun(reason: NotRunReason, facts: RequestMetadata): RouterResponse {
    const remainingMilliseconds =
      facts.deadlineMilliseconds ?? DEFAULT_DEADLINE_MILLISECONDS;
    const delay = notRunDelay(this.services, {reason, remainingMilliseconds});
    return {kind: 'notRun', reason, retryAfterMilliseconds: delay};
  }

  private async forward(
    request: HandledRequest,
    {table, route, account}: Extract<Admission, {kind: 'admitted'}>,
    body: Uint8Array,
  ): Promise<void> {
    const {exchange, facts} = request;
    const service = chooseTarget(route, this.services.random.next());
    if (service === undefined) {
      const reason = 'noUpstream';
      this.respond(request, {kind: 'refused', reason});
      return;
    }
    this.services.budget.recordRequest(service);
    const {configuration} = this.services;
    const admitted: AdmittedRequest = {
      id: facts.id ?? `unnamed-${++this.unnamedCount}`,
      facts,
      route,
      service,
      account: account?.name,
      priority: account?.priority ?? route.priority,
      body,
      deadlineAt: deadlineOf(request, route),
      upstreamDeadlineAt: upstreamDeadlineOf(request, route),
      configurationVersion: table.configuration.version,
      configurationAge: configuration.age,
    };
    this.logTakenWhileStopping(request, admitted);
    request.forwarder = this.createForwarder(exchange, admitted, table);
    await request.forwarder.run();
  }

  private createForwarder(
    exchange: CallerExchange,
    admitted: AdmittedRequest,
    table: RouteTable,
  ): RequestForwarder {
    const {services, monitor} = this;
    const service = table.configuration.services.find(
      ({name}) => name === admitted.service,
    );
    const engine = service?.engine;
    if (admitted.route.kind !== 'stream' && engine?.layers === undefined) {
      return new PlainForwarder(services, exchange, admitted);
    }
    const settings = engine ?? UNBOUNDED_ENGINE;
    return new StreamForwarder(services, exchange, admitted, settings, monitor);
  }
}

/** Longest time for which a request may have waited unread; undefined if the event loop was on time. */
function unreadMilliseconds(request: HandledRequest): number | undefined {
  const {receivedAt} = request.exchange.request;
  return request.mayHaveWaited
    ? Math.round(receivedAt - request.arrivedAt)
    : undefined;
}
