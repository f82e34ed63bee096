import {
  CancellationSource,
  CancellationToken,
} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {failure, Result, success} from '../../../base/common/result.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {
  ServiceConnector,
  ServiceResponse,
} from '../../../infrastructure/service/common/serviceConnection.js';
import {
  answerForClaim,
  IncarnationAddress,
} from '../../callers/common/claimAnswers.js';
import {
  ServiceCallRequest,
  ServiceDispatcher,
} from '../../callers/common/serviceDispatcher.js';
import {ClaimService} from '../../claims/common/claims.js';
import {Configuration} from '../../configuration/common/configuration.js';
import {RequestError, RequestFailure} from '../../requests/common/failure.js';
import {CapacityBroker} from '../../routing/common/routing.js';
import {LatencyWindow} from './latencyWindow.js';
import {mayRepeat} from './repeatability.js';
import {RetryBudget} from './retryBudget.js';
import {ServiceCallRun} from './serviceCallRun.js';

/**
 * Who claims the keys of calls that may not be repeated. With `handler`, the dispatcher claims only
 * where the handler held a call for repeatable and the configuration says otherwise.
 */
export type ClaimPlace = 'dispatcher' | 'handler';

/** What the dispatcher is built from. */
export interface ServiceDispatcherParts {
  readonly broker: CapacityBroker;
  readonly connector: ServiceConnector;
  readonly claims: ClaimService;
  readonly claimPlace: ClaimPlace;
  /** The configuration in force. */
  readonly configuration: () => Configuration;
  /** The caller address of the instance that runs an incarnation. */
  readonly addressOf: IncarnationAddress;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

type DispatchResult = Result<ServiceResponse, RequestFailure>;

/** What is kept for each service. */
interface ServiceState {
  readonly budget: RetryBudget;
  readonly latency: LatencyWindow;
}

const RETRY_SHARE = 0.1;
const RETRY_LIMIT = 10;
const SERVICE_LIMIT = 1000;

/**
 * Sends calls to plain services. The claim on the key of a call that may not be repeated is made
 * here, right before the first try, when `claimPlace` is `dispatcher`: a handler must then not claim
 * it as well, since each would take the other for a duplicate.
 */
export class DefaultServiceDispatcher extends ServiceDispatcher {
  private readonly states = new Map<string, ServiceState>();

  constructor(private readonly parts: ServiceDispatcherParts) {
    super();
  }

  override async dispatch(
    request: ServiceCallRequest,
    token: CancellationToken,
  ): Promise<DispatchResult> {
    const {services} = this.parts.configuration();
    const configured = Object.hasOwn(services, request.service)
      ? services[request.service]
      : undefined;
    const isRepeatable =
      request.repeatable && mayRepeat(configured, request.method, request.path);
    const claimedByHandler =
      this.parts.claimPlace === 'handler' && !request.repeatable;
    if (isRepeatable || claimedByHandler) {
      return this.runInTime(request, isRepeatable, token);
    }
    return this.claimAndRun(request, token);
  }

  private async claimAndRun(
    request: ServiceCallRequest,
    token: CancellationToken,
  ): Promise<DispatchResult> {
    const {claims, addressOf} = this.parts;
    const {clientAccount, idempotencyKey: key, fingerprint} = request;
    if (key === undefined) {
      return failure(missingKey());
    }
    const source = new CancellationSource(token);
    const timer = this.cancelAtDeadline(request, source);
    const decision = await claims.claim(
      clientAccount,
      key,
      source.token,
      fingerprint,
    );
    timer.dispose();
    source.dispose();
    const answer = answerForClaim(decision, addressOf);
    switch (answer.kind) {
      case 'refuse':
        return failure(answer.failure);
      case 'replay':
        return success({...answer.answer, requestId: request.requestId});
      case 'run': {
        const result = await this.runInTime(request, false, token);
        claims.complete(clientAccount, key, toOutcome(result));
        return result;
      }
    }
  }

  /** Answers at the deadline, or when the caller has gone, whatever the tries are doing. */
  private async runInTime(
    request: ServiceCallRequest,
    isRepeatable: boolean,
    token: CancellationToken,
  ): Promise<DispatchResult> {
    const source = new CancellationSource(token);
    const run = new ServiceCallRun(
      {...this.parts, ...this.stateOf(request.service)},
      request,
      isRepeatable,
      source.token,
    );
    const timer = this.cancelAtDeadline(request, source);
    const result = await untilCancelled(run, source.token, token);
    timer.dispose();
    source.dispose();
    this.log(request, isRepeatable, run, result);
    return result;
  }

  private cancelAtDeadline(
    request: ServiceCallRequest,
    source: CancellationSource,
  ) {
    const {clock} = this.parts;
    const left = request.deadlineAt - clock.monotonicMilliseconds();
    return clock.setTimer(Math.max(0, left), () => source.cancel('deadline'));
  }

  private stateOf(service: string): ServiceState {
    const known = this.states.get(service);
    if (known !== undefined) {
      return known;
    }
    if (this.states.size >= SERVICE_LIMIT) {
      this.states.clear();
    }
    const state: ServiceState = {
      budget: new RetryBudget(RETRY_SHARE, RETRY_LIMIT),
      latency: new LatencyWindow(),
    };
    this.states.set(service, state);
    return state;
  }

  private log(
    request: ServiceCallRequest,
    isRepeatable: boolean,
    run: ServiceCallRun,
    result: DispatchResult,
  ): void {
    const {logger, metrics} = this.parts;
    const {requestId, service, clientAccount, classOfWork} = request;
    logger.decision('service', {
      requestId,
      service,
      clientAccount,
      classOfWork: classOfWork.name,
      isRepeatable,
      attempts: run.attempts.map(note => ({...note})),
      status: result.ok ? result.value.status : undefined,
      error: result.ok ? undefined : result.error.error.kind,
      executed: result.ok ? 'yes' : result.error.executed,
      retryAfterMilliseconds: result.ok
        ? undefined
        : result.error.retryAfterMilliseconds,
    });
    metrics.count('services.calls', 1, {
      service,
      result: result.ok ? 'answered' : result.error.error.kind,
    });
    metrics.count('services.tries', run.attempts.length, {service});
  }
}

/** After cancellation the run sends nothing more, so that `no` stays true. */
function untilCancelled(
  run: ServiceCallRun,
  own: CancellationToken,
  callers: CancellationToken,
): Promise<DispatchResult> {
  return new Promise(resolve => {
    own.onDidCancel(() => {
      const error: RequestError = callers.isCancelled
        ? {kind: 'callerGone'}
        : {kind: 'deadlineExceeded'};
      resolve(failure(run.failureFor(error)));
    });
    void run.run().then(resolve);
  });
}

function toOutcome(result: DispatchResult) {
  if (!result.ok) {
    return {kind: 'failed', failure: result.error} as const;
  }
  const {status, contentType, body} = result.value;
  return {
    kind: 'completed',
    status,
    contentType: contentType ?? 'application/octet-stream',
    body,
  } as const;
}

function missingKey(): RequestFailure {
  const expected = 'a key, since this call may not be repeated';
  return {
    error: {
      kind: 'invalidRequest',
      findings: [{source: 'headers', path: 'Idempotency-Key', expected}],
    },
    executed: 'no',
    retryAfterMilliseconds: undefined,
    addresses: [],
  };
}
