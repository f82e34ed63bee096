import {
  Route,
  TrafficAccount,
} from '../../traffic/common/trafficConfiguration.js';
import {chooseTarget} from '../../traffic/common/chooseTarget.js';
import {EngineSettings} from '../../traffic/common/trafficConfiguration.js';
import {RouteTable} from '../../traffic/common/routeTable.js';
import {CallerExchange, RouterAnswer} from '../common/callerExchange.js';
import {NotRunReason, retryAfterMilliseconds} from '../common/retryAfter.js';
import {RequestFacts} from '../common/wire.js';
import {ForwardingServices} from './forwardingServices.js';
import {PlainRun} from './plainRun.js';
import {AdmittedRequest, RequestRun} from './requestRun.js';
import {StreamRun} from './streamRun.js';
import {StreamWatch} from './streamWatch.js';

/** Time that a caller is taken to have when it does not say. */
const USUAL_DEADLINE_MILLISECONDS = 30_000;

/** Stands for the engine of a stream service that describes none: no bound on memory, no layers. */
const PLAIN_STREAM_ENGINE: EngineSettings = {
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

/** Whether a request may go on, and as whose. */
type Admission =
  | {
      readonly kind: 'admitted';
      readonly table: RouteTable;
      readonly route: Route;
      readonly account: TrafficAccount | undefined;
    }
  | {readonly kind: 'answer'; readonly answer: RouterAnswer}
  | {readonly kind: 'refused'; readonly reason: NotRunReason};

/** Decides on each request of a caller and forwards those that are admitted. */
export class RequestHandler {
  private inProgress = 0;
  private refusesNew = false;
  private whenIdle: () => void = () => undefined;
  private unnamed = 0;

  constructor(
    private readonly services: ForwardingServices,
    private readonly watch: StreamWatch,
  ) {}

  /** Requests that have no final answer yet. */
  get count(): number {
    return this.inProgress;
  }

  /** From now on new requests are refused as not run. */
  refuseNew(): void {
    this.refusesNew = true;
  }

  /** Resolves once nothing is in progress. */
  idle(): Promise<void> {
    return this.inProgress === 0
      ? Promise.resolve()
      : new Promise(resolve => (this.whenIdle = resolve));
  }

  /** Handles one request to its end. */
  async handle(exchange: CallerExchange): Promise<void> {
    this.inProgress++;
    try {
      await this.process(exchange);
    } finally {
      this.inProgress--;
      if (this.inProgress === 0) {
        this.whenIdle();
      }
    }
  }

  private async process(exchange: CallerExchange): Promise<void> {
    const facts = this.services.wire.readRequest(exchange.request.headers);
    const first = await this.admit(exchange, facts);
    if (first.kind !== 'admitted') {
      this.answer(exchange, facts, first);
      return;
    }
    const {limits} = first.table.configuration;
    const body = await exchange.readBody(limits.bodyBytes);
    if (body === undefined) {
      this.answer(exchange, facts, {
        kind: 'answer',
        answer: {kind: 'rejected', status: 413, reason: 'body too long'},
      });
      return;
    }
    // Reading may have taken long: what decides is what is in force now.
    const admission = await this.admit(exchange, facts);
    if (admission.kind !== 'admitted') {
      this.answer(exchange, facts, admission);
      return;
    }
    await this.forward(exchange, facts, admission, body);
  }

  private async admit(
    exchange: CallerExchange,
    facts: RequestFacts,
  ): Promise<Admission> {
    if (this.refusesNew) {
      return {kind: 'refused', reason: 'stopping'};
    }
    const {configuration} = this.services;
    if (!configuration.isConfirmed) {
      await this.waitForConfirmation();
    }
    const {table} = configuration;
    if (table === undefined) {
      return {kind: 'refused', reason: 'unconfirmed'};
    }
    const {headers, target} = exchange.request;
    if (sizeOf(headers) > table.configuration.limits.headerBytes) {
      return rejected(431, 'headers too long');
    }
    const route = table.findRoute(facts.host ?? '', target);
    if (route === undefined) {
      return configuration.isConfirmed
        ? rejected(404, 'no such route')
        : {kind: 'refused', reason: 'unconfirmed'};
    }
    return this.authorize(table, route, facts);
  }

  private authorize(
    table: RouteTable,
    route: Route,
    facts: RequestFacts,
  ): Admission {
    if (!table.needsKeys || route.isPublic) {
      return {kind: 'admitted', table, route, account: undefined};
    }
    if (!this.services.configuration.isConfirmed) {
      return {kind: 'refused', reason: 'unconfirmed'};
    }
    const {key} = facts;
    const account = key === undefined ? undefined : table.findAccount(key);
    return account === undefined
      ? rejected(401, 'unknown key')
      : {kind: 'admitted', table, route, account};
  }

  /** A confirmation is under way most of the time; waiting a little serves more callers than refusing. */
  private waitForConfirmation(): Promise<void> {
    const {clock, configuration, settings} = this.services;
    return new Promise(resolve => {
      const finish = (): void => {
        timer.dispose();
        listener.dispose();
        resolve();
      };
      const timer = clock.setTimer(
        settings.confirmationWaitMilliseconds,
        finish,
      );
      const listener = configuration.onDidConfirm(finish);
    });
  }

  private answer(
    exchange: CallerExchange,
    facts: RequestFacts,
    decision: Exclude<Admission, {kind: 'admitted'}>,
  ): void {
    const answer =
      decision.kind === 'answer'
        ? decision.answer
        : this.notRun(decision.reason, facts);
    exchange.sendOwn(answer);
    const {configuration, logger, metrics} = this.services;
    metrics.noteEnd('none', answer.kind, 0);
    logger.decision('requestRefused', {
      request: facts.id,
      host: facts.host,
      target: exchange.request.target,
      ...answer,
      configuration: configuration.table?.configuration.version,
      configurationAge: Math.round(configuration.age),
    });
  }

  private notRun(reason: NotRunReason, facts: RequestFacts): RouterAnswer {
    const left = facts.deadlineMilliseconds ?? USUAL_DEADLINE_MILLISECONDS;
    const draw = this.services.random.next();
    const wait = retryAfterMilliseconds(reason, left, draw);
    return {kind: 'notRun', reason, retryAfterMilliseconds: wait};
  }

  private async forward(
    exchange: CallerExchange,
    facts: RequestFacts,
    {table, route, account}: Extract<Admission, {kind: 'admitted'}>,
    body: Uint8Array,
  ): Promise<void> {
    const service = chooseTarget(route, this.services.random.next());
    if (service === undefined) {
      const reason = 'noUpstream';
      this.answer(exchange, facts, {kind: 'refused', reason});
      return;
    }
    this.services.budget.noteRequest(service);
    const {configuration} = this.services;
    const time = Math.min(
      facts.deadlineMilliseconds ?? USUAL_DEADLINE_MILLISECONDS,
      route.timeoutMilliseconds,
    );
    const admitted: AdmittedRequest = {
      id: facts.id ?? `unnamed-${++this.unnamed}`,
      facts,
      route,
      service,
      account: account?.name,
      priority: account?.priority ?? route.priority,
      body,
      deadlineAt: exchange.request.receivedAt + time,
      configurationVersion: table.configuration.version,
      configurationAge: configuration.age,
    };
    await this.createRun(exchange, admitted, table).run();
  }

  private createRun(
    exchange: CallerExchange,
    admitted: AdmittedRequest,
    table: RouteTable,
  ): RequestRun {
    const {services, watch} = this;
    const service = table.configuration.services.find(
      ({name}) => name === admitted.service,
    );
    const engine = service?.engine;
    if (admitted.route.kind !== 'stream' && engine?.layers === undefined) {
      return new PlainRun(services, exchange, admitted);
    }
    const settings = engine ?? PLAIN_STREAM_ENGINE;
    return new StreamRun(services, exchange, admitted, settings, watch);
  }
}

function rejected(
  status: 401 | 404 | 413 | 431,
  reason: string,
): Extract<Admission, {kind: 'answer'}> {
  return {kind: 'answer', answer: {kind: 'rejected', status, reason}};
}

/** Bytes of the headers as they came, near enough. */
function sizeOf(headers: readonly string[]): number {
  return headers.reduce((sum, text) => sum + text.length + 2, 0);
}
