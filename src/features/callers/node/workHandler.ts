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
import {CallerDependencies} from './callerDependencies.js';
import {ClaimedKey} from './keyClaim.js';
import {PreClaimRefusals} from './preClaimRefusals.js';
import {ExchangePlan, RequestExchange} from './requestExchange.js';
import {RequestLog} from './requestLog.js';

/** A completely read request of an authenticated account. */
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

/** The properties that decide whether the request must claim its key. */
export interface KeyedWork {
  readonly idempotencyKey: string | undefined;
  readonly clientAccount: string;
  readonly classOfWork: ClassOfWork;
  /** Overrides the class's `repeatable`. */
  readonly repeatable?: boolean;
  /** Computes the fingerprint of the request; called only when the key must be claimed. */
  readonly fingerprint: () => string;
}

interface Admission {
  readonly account: ClientAccount;
  readonly configuration: Configuration;
  readonly place: Disposable;
}

/** Common handling of all kinds of work: admission, authentication, body, exchange, log line. */
export abstract class WorkHandler {
  private readonly refusals: PreClaimRefusals;

  constructor(
    protected readonly services: CallerDependencies,
    private readonly authenticator: CallerAuthenticator,
    private readonly running: Set<RequestExchange>,
  ) {
    this.refusals = new PreClaimRefusals(services, authenticator);
  }

  /** Validates the request and plans its execution; a failure reports all findings. */
  protected abstract plan(
    input: WorkInput,
  ): Result<ExchangePlan, RequestFailure>;

  /** Name of this kind of work in logs and metrics. */
  protected abstract readonly name: string;

  /** Handles one request; resolves once its response is closed and its work has ended. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (response.destroyed) {
      return;
    }
    const requestId = randomUUID();
    const closed = new Promise(resolve => response.once('close', resolve));
    const callerResponse = this.createResponse(response, requestId, () =>
      disconnectStalledCaller(exchange, response),
    );
    const exchange = this.createExchange(callerResponse);
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
    log.write(exchange.summary, callerResponse.status, logger, metrics);
    await closed;
    this.running.delete(exchange);
    place?.dispose();
  }

  private createResponse(
    response: ServerResponse,
    requestId: string,
    onDidStall: () => void,
  ): CallerResponse {
    const {clock, gate} = this.services;
    const isLeaving = () => gate.isLeaving;
    const callerResponse = new CallerResponse(
      response,
      clock,
      isLeaving,
      onDidStall,
    );
    callerResponse.setRequestId(requestId);
    return callerResponse;
  }

  private createExchange(callerResponse: CallerResponse): RequestExchange {
    const {claims, clock, gate, logger} = this.services;
    return new RequestExchange(callerResponse, {
      claims,
      clock,
      addressOf: incarnation => gate.addressOf(incarnation),
      onUnexpectedError: error =>
        logger.error('unexpected error', {detail: String(error)}),
    });
  }

  /** Admits, reads and starts one request; resolves with its slot, or undefined when it was not admitted. */
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
    const slot = gate.tryAcquireSlot();
    return slot.ok
      ? success({account: account.value, configuration, place: slot.value})
      : failure(this.refusals.state(slot.error, headers));
  }

  private start(exchange: RequestExchange, input: WorkInput): void {
    const plan = this.plan(input);
    if (plan.ok) {
      exchange.start(plan.value);
    } else {
      exchange.refuse(plan.error);
    }
  }

  /** Returns the key to claim; undefined for repeatable work and for requests without a key. */
  protected claimedKey(work: KeyedWork): ClaimedKey | undefined {
    const {idempotencyKey: key, clientAccount} = work;
    const repeatable = work.repeatable ?? work.classOfWork.repeatable;
    return repeatable || key === undefined
      ? undefined
      : {clientAccount, key, fingerprint: work.fingerprint()};
  }

  /** When the complete response is due: the earlier of the class's and the caller's deadline. */
  protected deadlineAt(input: WorkInput, classOfWork: ClassOfWork): number {
    const requestedMilliseconds =
      input.headers.deadlineMilliseconds ?? Infinity;
    return (
      input.arrivedAt +
      Math.min(requestedMilliseconds, classOfWork.deadlineMilliseconds)
    );
  }
}

function disconnectStalledCaller(
  exchange: RequestExchange,
  response: ServerResponse,
): void {
  exchange.callerGone();
  response.destroy();
}
