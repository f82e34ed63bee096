import {randomUUID} from 'node:crypto';
import {IncomingMessage, ServerResponse} from 'node:http';

import {Disposable} from '../../../base/common/lifecycle.js';
import {failure, Result, success} from '../../../base/common/result.js';
import {
  ClientAccount,
  ClassOfWork,
  Configuration,
} from '../../configuration/common/configuration.js';
import {RequestFailure} from '../../requests/common/failure.js';
import {
  CallerHeaders,
  HeaderIndex,
  indexHeaders,
  readCallerHeaders,
} from '../common/callerHeaders.js';
import {readBody} from './bodyReader.js';
import {CallerAuthenticator} from './callerAuthenticator.js';
import {CallerResponse} from './callerResponse.js';
import {CallerServices} from './callerServices.js';
import {ClaimedKey} from './keyClaim.js';
import {KeyedRefusals} from './keyedRefusals.js';
import {ExchangePlan, RequestExchange} from './requestExchange.js';
import {RequestLog} from './requestLog.js';

/** A request that was read whole, from a known account. */
export interface WorkInput {
  readonly requestId: string;
  readonly account: ClientAccount;
  readonly configuration: Configuration;
  readonly headers: CallerHeaders;
  readonly method: string;
  readonly url: string;
  readonly body: string;
  /** Monotonic milliseconds. */
  readonly arrivedAt: number;
}

/** What decides whether a claim is needed. */
export interface KeyedWork {
  readonly idempotencyKey: string | undefined;
  readonly clientAccount: string;
  readonly classOfWork: ClassOfWork;
  /** Goes before the class's word. */
  readonly repeatable?: boolean;
  /** What the key stands for; formed only where it is needed. */
  readonly fingerprint: () => string;
}

interface Admission {
  readonly account: ClientAccount;
  readonly configuration: Configuration;
  readonly place: Disposable;
}

/** What every kind of work does alike: gate, account, body, exchange, log line. */
export abstract class WorkHandler {
  private readonly refusals: KeyedRefusals;

  constructor(
    protected readonly services: CallerServices,
    private readonly authenticator: CallerAuthenticator,
    private readonly running: Set<RequestExchange>,
  ) {
    this.refusals = new KeyedRefusals(services, authenticator);
  }

  /** Reads the request into a plan; all findings come back together. */
  protected abstract plan(
    input: WorkInput,
  ): Result<ExchangePlan, RequestFailure>;

  /** Name of the kind of work in logs and metrics. */
  protected abstract readonly name: string;

  /** Answers one request; resolves when nothing of it is left. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (response.destroyed) {
      return;
    }
    const requestId = randomUUID();
    const closed = new Promise(resolve => response.once('close', resolve));
    const answer = this.openAnswer(response, requestId, () =>
      stopReading(exchange, response),
    );
    const exchange = this.openExchange(answer);
    response.once('close', () => {
      if (!response.writableFinished) {
        exchange.callerGone();
      }
    });
    const {logger, metrics, clock} = this.services;
    const log = new RequestLog(this.name, requestId, clock);
    this.running.add(exchange);
    const place = await this.serve(request, exchange, log);
    await exchange.ended;
    log.write(exchange.summary, answer.status, logger, metrics);
    await closed;
    this.running.delete(exchange);
    place?.dispose();
  }

  private openAnswer(
    response: ServerResponse,
    requestId: string,
    onDidStall: () => void,
  ): CallerResponse {
    const {clock, gate} = this.services;
    const isLeaving = () => gate.isLeaving;
    const answer = new CallerResponse(response, clock, isLeaving, onDidStall);
    answer.setRequestId(requestId);
    return answer;
  }

  private openExchange(answer: CallerResponse): RequestExchange {
    const {claims, clock, gate, logger} = this.services;
    return new RequestExchange(answer, {
      claims,
      clock,
      addressOf: incarnation => gate.addressOf(incarnation),
      onUnexpected: error =>
        logger.error('unexpected error', {detail: String(error)}),
    });
  }

  /** Reads and starts one request; resolves with its place among those in progress. */
  private async serve(
    request: IncomingMessage,
    exchange: RequestExchange,
    log: RequestLog,
  ): Promise<Disposable | undefined> {
    const headers = indexHeaders(request.rawHeaders);
    const admitted = this.admit(headers);
    if (!admitted.ok) {
      exchange.refuse(admitted.error);
      return undefined;
    }
    const {account, configuration, place} = admitted.value;
    log.clientAccount = account.name;
    exchange.authenticated();
    const body = await readBody(request, this.services.settings.bodyLimitBytes);
    if (body === undefined) {
      exchange.callerGone();
    } else if (!body.ok) {
      exchange.refuse(body.error);
    } else {
      const read = readCallerHeaders(headers, configuration.classes);
      log.classOfWork = read.classOfWork?.name;
      this.start(exchange, {
        requestId: log.requestId,
        account,
        configuration,
        headers: read,
        method: request.method ?? 'GET',
        url: request.url ?? '/',
        body: body.value,
        arrivedAt: log.arrivedAt,
      });
    }
    return place;
  }

  private admit(headers: HeaderIndex): Result<Admission, RequestFailure> {
    const {gate} = this.services;
    const view = gate.servingView();
    if (!view.ok) {
      return failure(this.refusals.state(view.error, headers));
    }
    const {configuration} = view.value;
    const account = this.authenticator.authenticate(headers, configuration);
    if (!account.ok) {
      return account;
    }
    const place = gate.enter();
    return place.ok
      ? success({account: account.value, configuration, place: place.value})
      : failure(this.refusals.state(place.error, headers));
  }

  private start(exchange: RequestExchange, input: WorkInput): void {
    const plan = this.plan(input);
    if (plan.ok) {
      exchange.start(plan.value);
    } else {
      exchange.refuse(plan.error);
    }
  }

  /** The key to claim: work that may be repeated needs none. */
  protected claimedKey(work: KeyedWork): ClaimedKey | undefined {
    const {idempotencyKey: key, clientAccount} = work;
    const repeatable = work.repeatable ?? work.classOfWork.repeatable;
    return repeatable || key === undefined
      ? undefined
      : {clientAccount, key, fingerprint: work.fingerprint()};
  }

  /** When the whole answer is due: the class's deadline, or the caller's where that is sooner. */
  protected deadlineAt(input: WorkInput, classOfWork: ClassOfWork): number {
    const stated = input.headers.deadlineMilliseconds ?? Infinity;
    return input.arrivedAt + Math.min(stated, classOfWork.deadlineMilliseconds);
  }
}

function stopReading(
  exchange: RequestExchange,
  response: ServerResponse,
): void {
  exchange.callerGone();
  response.destroy();
}
