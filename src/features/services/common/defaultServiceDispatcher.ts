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
  actionForClaim,
  IncarnationAddressResolver,
} from '../../callers/common/claimActions.js';
import {
  ServiceCallRequest,
  ServiceDispatcher,
} from '../../callers/common/serviceDispatcher.js';
import {ClaimService} from '../../claims/common/claimService.js';
import {Configuration} from '../../configuration/common/configuration.js';
import {RequestError, RequestFailure} from '../../requests/common/failure.js';
import {CapacityBroker} from '../../routing/common/routing.js';
import {LatencyWindow} from './latencyWindow.js';
import {isCallRepeatable} from './repeatability.js';
import {RetryBudget} from './retryBudget.js';
import {ServiceCallRun} from './serviceCallRun.js';

/**
 * Which component claims the idempotency keys of calls that must not be repeated. With `handler`, the dispatcher claims
 * only the keys of calls that the handler treated as repeatable but the configuration does not.
 */
export type ClaimOwner = 'dispatcher' | 'handler';

/** Services and settings that the dispatcher uses. */
export interface ServiceDispatcherParts {
  readonly broker: CapacityBroker;
  readonly connector: ServiceConnector;
  readonly claims: ClaimService;
  readonly claimOwner: ClaimOwner;
  /** Returns the current configuration. */
  readonly configuration: () => Configuration;
  /** Returns the caller address of the instance that runs an incarnation. */
  readonly addressOf: IncarnationAddressResolver;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

type DispatchResult = Result<ServiceResponse, RequestFailure>;

/** State kept per service. */
interface ServiceState {
  readonly budget: RetryBudget;
  readonly latency: LatencyWindow;
}

const RETRIES_PER_SUCCESS = 0.1;
const SAVED_RETRY_LIMIT = 10;
const TRACKED_SERVICE_LIMIT = 1000;

/**
 * Sends calls to plain services. With `claimOwner: 'dispatcher'`, the key of a call that must not be repeated is claimed
 * right before the first attempt. The handler must not claim it as well, since the second claim would be rejected as a
 * duplicate of the first.
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
      request.repeatable &&
      isCallRepeatable(configured, request.method, request.path);
    const isClaimedByHandler =
      this.parts.claimOwner === 'handler' && !request.repeatable;
    if (isRepeatable || isClaimedByHandler) {
      return this.runUntilDeadline(request, isRepeatable, token);
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
      return failure(missingKeyFailure());
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
    const action = actionForClaim(decision, addressOf);
    switch (action.kind) {
      case 'refuse':
        return failure(action.failure);
      case 'replay':
        return success({...action.answer, requestId: request.requestId});
      case 'run': {
        const result = await this.runUntilDeadline(request, false, token);
        claims.complete(clientAccount, key, toOutcome(result));
        return result;
      }
    }
  }

  /** Runs the call; resolves at the deadline or when the caller disconnects, even if attempts are still in flight. */
  private async runUntilDeadline(
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
    const result = await runUntilCancelled(run, source.token, token);
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
    const remainingMilliseconds =
      request.deadlineAt - clock.monotonicMilliseconds();
    return clock.setTimer(Math.max(0, remainingMilliseconds), () =>
      source.cancel('deadline'),
    );
  }

  private stateOf(service: string): ServiceState {
    const known = this.states.get(service);
    if (known !== undefined) {
      return known;
    }
    if (this.states.size >= TRACKED_SERVICE_LIMIT) {
      this.states.clear();
    }
    const state: ServiceState = {
      budget: new RetryBudget(RETRIES_PER_SUCCESS, SAVED_RETRY_LIMIT),
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
      attempts: run.attempts.map(entry => ({...entry})),
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

/** Runs the call until it is cancelled. Nothing is sent after that, so `executed: no` remains correct. */
function runUntilCancelled(
  run: ServiceCallRun,
  callToken: CancellationToken,
  callerToken: CancellationToken,
): Promise<DispatchResult> {
  return new Promise(resolve => {
    callToken.onDidCancel(() => {
      const error: RequestError = callerToken.isCancelled
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

function missingKeyFailure(): RequestFailure {
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
