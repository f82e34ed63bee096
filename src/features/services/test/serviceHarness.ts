import {FakeClock} from '../../../../test/support/fakeClock.js';
import {CancellationToken} from '../../../base/common/cancellation.js';
import {SeededRandomSource} from '../../../base/common/randomSource.js';
import {failure, Result, success} from '../../../base/common/result.js';
import {
  Logger,
  SilentLogger,
} from '../../../infrastructure/logging/common/logger.js';
import {SilentMetrics} from '../../../infrastructure/metrics/common/metrics.js';
import {
  ServiceConnection,
  ServiceConnector,
  ServiceError,
  ServiceRequest,
  ServiceResponse,
} from '../../../infrastructure/service/common/serviceConnection.js';
import {ServiceCallRequest} from '../../callers/common/serviceDispatcher.js';
import {ClaimDecision, ClaimService} from '../../claims/common/claimService.js';
import {
  emptyConfiguration,
  PlainService,
} from '../../configuration/common/configuration.js';
import {RequestOutcome} from '../../requests/common/request.js';
import {ServiceChoice} from '../../routing/common/routing.js';
import {CallRunParts} from '../common/serviceCallRun.js';
import {
  ClaimOwner,
  DefaultServiceDispatcher,
} from '../common/defaultServiceDispatcher.js';

/** A fake service whose replicas behave as scripted and which counts the calls that it ran. */

/** How the next call to reach any replica is handled; `lostBefore` and `lostAfter` refer to its execution. */
export type ReplicaBehaviour =
  | 'ok'
  | 'unreachable'
  | 'refused'
  | 'lostBefore'
  | 'lostAfter'
  | 'mismatch'
  | 'silent';

export const stockService: PlainService = {
  name: 'stock',
  calls: [
    {method: 'GET', pathPrefix: '/', repeatable: true},
    {method: 'GET', pathPrefix: '/reserve', repeatable: false},
    {method: 'POST', pathPrefix: '/quotes', repeatable: true},
  ],
};

export class ServiceHarness extends ServiceConnector {
  readonly clock = new FakeClock();
  readonly claims = new InMemoryClaimService();
  readonly released: string[] = [];
  readonly decisions: unknown[] = [];
  /** Number of calls that the service executed. */
  executions = 0;
  /** Number of calls sent, including those that failed to connect. */
  sent = 0;
  private readonly behaviours: ReplicaBehaviour[];

  constructor(
    behaviours: readonly ReplicaBehaviour[],
    private readonly replicas: number,
    private readonly mapError: (error: ServiceError) => ServiceError = identity,
  ) {
    super();
    this.behaviours = [...behaviours];
  }

  dispatcher(claimOwner: ClaimOwner = 'dispatcher'): DefaultServiceDispatcher {
    return new DefaultServiceDispatcher({
      broker: this.broker(),
      connector: this,
      claims: this.claims,
      claimOwner,
      configuration: () => ({
        ...emptyConfiguration,
        services: {stock: stockService},
      }),
      addressOf: () => undefined,
      clock: this.clock,
      random: new SeededRandomSource(1),
      logger: this.logger(),
      metrics: new SilentMetrics(),
    });
  }

  override connect(upstream: string): ServiceConnection {
    const call = (request: ServiceRequest, token: CancellationToken) =>
      this.respond(upstream, request, token);
    return new (class extends ServiceConnection {
      override call = call;
    })();
  }

  private respond(
    upstream: string,
    request: ServiceRequest,
    token: CancellationToken,
  ): Promise<Result<ServiceResponse, ServiceError>> {
    this.sent++;
    const behaviour = this.behaviours.shift() ?? 'ok';
    const fails = (error: ServiceError) =>
      Promise.resolve(failure(this.mapError(error)));
    switch (behaviour) {
      case 'ok':
        this.executions++;
        return Promise.resolve(success(responseOf(request, upstream)));
      case 'unreachable':
        return fails({kind: 'unreachable', detail: ''});
      case 'refused':
        return fails({kind: 'refused', retryAfterMilliseconds: 70});
      case 'lostBefore':
        return fails({kind: 'lost', detail: ''});
      case 'lostAfter':
        this.executions++;
        return fails({kind: 'lost', detail: ''});
      case 'mismatch':
        this.executions++;
        return fails({kind: 'mismatch', detail: ''});
      case 'silent':
        this.executions++;
        return new Promise(resolve =>
          token.onDidCancel(() =>
            resolve(failure({kind: 'lost', detail: 'cancelled'})),
          ),
        );
    }
  }

  private broker(): CallRunParts['broker'] {
    const names = Array.from(
      {length: this.replicas},
      (_, index) => `r${index}`,
    );
    const chooseService = (
      _service: string,
      excluded: readonly string[],
    ): ServiceChoice => {
      const free = names.filter(name => !excluded.includes(name));
      return free.length === 0
        ? {kind: 'none', retryAfterMilliseconds: 250}
        : {
            kind: 'chosen',
            upstream: free[0]!,
            address: free[0]!,
            candidates: free.length,
          };
    };
    const releaseService = (upstream: string, outcome: string) =>
      void this.released.push(`${upstream} ${outcome}`);
    // The dispatcher uses only these two methods of the broker.
    return {chooseService, releaseService} as unknown as CallRunParts['broker'];
  }

  private logger(): Logger {
    const {decisions} = this;
    return new (class extends SilentLogger {
      override decision(_name?: string, fields?: unknown): void {
        decisions.push(fields);
      }
    })();
  }
}

/** Grants each key once and stores the recorded outcomes; `decision` overrides the decision if set. */
export class InMemoryClaimService extends ClaimService {
  readonly outcomes = new Map<string, RequestOutcome>();
  decision: ClaimDecision | undefined;
  fingerprint: string | undefined;

  override async claim(
    _account: string,
    key: string,
    _token: unknown,
    fingerprint?: string,
  ): Promise<ClaimDecision> {
    this.fingerprint = fingerprint;
    if (this.decision !== undefined) {
      return this.decision;
    }
    const outcome = this.outcomes.get(key);
    if (outcome !== undefined) {
      return {kind: 'duplicate', outcome};
    }
    this.outcomes.set(key, {kind: 'running'});
    return {kind: 'granted'};
  }

  override complete(_account: string, key: string, outcome: RequestOutcome) {
    this.outcomes.set(key, outcome);
  }

  override async findOutcome(_account: string, key: string) {
    return this.outcomes.get(key);
  }

  override isProvenNotRun(): boolean {
    return true;
  }

  override issueGrant(): string {
    return '';
  }
}

export function createCall(
  changes: Partial<ServiceCallRequest> = {},
): ServiceCallRequest {
  return {
    requestId: 'request',
    service: 'stock',
    method: 'POST',
    path: '/orders',
    contentType: undefined,
    body: '{}',
    idempotencyKey: 'key',
    fingerprint: 'digest.orders',
    clientAccount: 'desk',
    classOfWork: {
      name: 'orders',
      firstTokenMilliseconds: 100,
      betweenTokensMilliseconds: 50,
      deadlineMilliseconds: 5000,
      requestsPerSecond: 1,
      repeatable: false,
    },
    repeatable: false,
    deadlineAt: 5000,
    ...changes,
  };
}

export const repeatableCall = createCall({
  method: 'GET',
  path: '/levels',
  repeatable: true,
  idempotencyKey: undefined,
});

function responseOf(request: ServiceRequest, upstream: string) {
  const {requestId} = request;
  return {status: 200, contentType: 'text/plain', body: upstream, requestId};
}

function identity(error: ServiceError): ServiceError {
  return error;
}
