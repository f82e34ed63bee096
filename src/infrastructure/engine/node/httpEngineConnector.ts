import {CancellationToken} from '../../../base/common/cancellation.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {failure, Result} from '../../../base/common/result.js';
import {
  CachedConnection,
  ConnectionCache,
} from '../../http/node/connectionCache.js';
import {HttpClient, HttpClientOptions} from '../../http/node/httpClient.js';
import {HttpCall, HttpOutcome} from '../../http/node/httpExchange.js';
import {parseJson} from '../../http/node/storageClient.js';
import {
  CacheReference,
  CancelReport,
  EngineConnection,
  EngineConnector,
  EngineError,
  EngineOrder,
  EngineReport,
  PositionRange,
  StepReceipt,
  StepRequest,
} from '../common/engineConnection.js';
import {
  checkCancelReport,
  checkEngineError,
  checkEngineReport,
  checkExport,
  checkImport,
  checkOrderAnswer,
  checkReceipt,
} from './engineAnswers.js';

/** Bounds of the connections to one engine. */
export interface EngineClientOptions {
  readonly steps: Partial<HttpClientOptions>;
  /** For everything but steps, so that a cancellation never waits behind steps. */
  readonly control: Partial<HttpClientOptions>;
}

const defaultOptions: EngineClientOptions = {
  steps: {connections: 64, waitingLimit: 512, callMilliseconds: 30000},
  control: {connections: 4, waitingLimit: 256, callMilliseconds: 3000},
};

const LOCAL_RETRY_MILLISECONDS = 100;

/** Connects to model engines; owns their connections. */
export class HttpEngineConnector extends EngineConnector implements Disposable {
  private readonly connections: ConnectionCache<HttpEngineConnection>;

  constructor(options: Partial<EngineClientOptions> = {}) {
    super();
    const whole = {
      steps: {...defaultOptions.steps, ...options.steps},
      control: {...defaultOptions.control, ...options.control},
    };
    this.connections = new ConnectionCache(
      (upstream, address) => new HttpEngineConnection(upstream, address, whole),
    );
  }

  override connect(upstream: string, address: string): EngineConnection {
    return this.connections.get(upstream, address);
  }

  dispose(): void {
    this.connections.dispose();
  }
}

/** One engine over HTTP; the protocol stands in docs/PROTOCOLS.md. */
class HttpEngineConnection
  extends EngineConnection
  implements CachedConnection
{
  private readonly steps: HttpClient;
  private readonly control: HttpClient;

  constructor(
    private readonly upstream: string,
    address: string,
    options: EngineClientOptions,
  ) {
    super();
    this.steps = new HttpClient(address, options.steps);
    this.control = new HttpClient(address, options.control);
  }

  get isIdle(): boolean {
    return this.steps.isIdle && this.control.isIdle;
  }

  override async step(
    request: StepRequest,
    token: CancellationToken,
  ): Promise<Result<StepReceipt, EngineError>> {
    const call = post('/v1/steps', request);
    const outcome = await this.steps.send(call, token);
    return classify(outcome, body => checkReceipt(request, body));
  }

  override async cancel(
    requestId: string,
    epoch: number,
    token: CancellationToken,
  ): Promise<Result<CancelReport, EngineError>> {
    const call = post('/v1/cancellations', {requestId, epoch});
    const outcome = await this.control.send(call, token);
    return classify(outcome, body => checkCancelReport(requestId, body));
  }

  override async exportCache(
    requestId: string,
    token: CancellationToken,
  ): Promise<Result<CacheReference, EngineError>> {
    const call = post('/v1/caches/exports', {requestId});
    const outcome = await this.control.send(call, token);
    return classify(outcome, body => checkExport(requestId, body));
  }

  override async importCache(
    requestId: string,
    epoch: number,
    reference: CacheReference,
    token: CancellationToken,
  ): Promise<Result<PositionRange, EngineError>> {
    const body = {requestId, epoch, reference};
    const call = post('/v1/caches/imports', body);
    const outcome = await this.control.send(call, token);
    return classify(outcome, answer => checkImport(requestId, answer));
  }

  override async report(
    token: CancellationToken,
  ): Promise<Result<EngineReport, EngineError>> {
    const call = {method: 'GET', path: '/v1/report'};
    const outcome = await this.control.send(call, token);
    return classify(outcome, body => checkEngineReport(this.upstream, body));
  }

  override async order(
    order: EngineOrder,
    token: CancellationToken,
  ): Promise<Result<void, EngineError>> {
    const call = {...post('/v1/order', order), method: 'PUT'};
    const outcome = await this.control.send(call, token);
    return classify(outcome, body => checkOrderAnswer(order, body));
  }

  dispose(): void {
    this.steps.dispose();
    this.control.dispose();
  }
}

function classify<T>(
  outcome: HttpOutcome,
  check: (body: unknown) => Result<T, EngineError>,
): Result<T, EngineError> {
  switch (outcome.kind) {
    case 'notSent':
      return failure({kind: 'unreachable', detail: outcome.detail});
    case 'tooMany':
      return failure({
        kind: 'overloaded',
        retryAfterMilliseconds: LOCAL_RETRY_MILLISECONDS,
      });
    case 'lost':
      return failure({kind: 'lost', detail: outcome.detail});
    case 'cancelled':
      return failure({kind: 'cancelled'});
    case 'answered': {
      const body = parseJson(outcome.body);
      return outcome.status === 200
        ? check(body)
        : failure(checkEngineError(outcome.status, body));
    }
  }
}

function post(path: string, body: unknown): HttpCall {
  return {
    method: 'POST',
    path,
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(body),
  };
}
