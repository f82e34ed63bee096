import {CancellationToken} from '../../../base/common/cancellation.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {failure, Result} from '../../../base/common/result.js';
import {
  CachedConnection,
  ConnectionCache,
} from '../../http/node/connectionCache.js';
import {HttpClient, HttpClientOptions} from '../../http/node/httpClient.js';
import {HttpRequest, HttpOutcome} from '../../http/node/httpExchange.js';
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
  parseCancelReport,
  parseEngineError,
  parseEngineReport,
  parseCacheReference,
  parseImportedPositions,
  validateOrderResponse,
  parseReceipt,
} from './engineResponses.js';

/** Limits of the connections to one engine. */
export interface EngineClientOptions {
  readonly steps: Partial<HttpClientOptions>;
  /** For all calls except steps, so that a cancellation is not queued behind steps. */
  readonly control: Partial<HttpClientOptions>;
}

const defaultOptions: EngineClientOptions = {
  steps: {connections: 64, maxPendingRequests: 512, callMilliseconds: 30000},
  control: {connections: 4, maxPendingRequests: 256, callMilliseconds: 3000},
};

const QUEUE_FULL_RETRY_MILLISECONDS = 100;

/** Creates connections to model engines over HTTP, and owns them. */
export class HttpEngineConnector extends EngineConnector implements Disposable {
  private readonly connections: ConnectionCache<HttpEngineConnection>;

  constructor(options: Partial<EngineClientOptions> = {}) {
    super();
    const mergedOptions = {
      steps: {...defaultOptions.steps, ...options.steps},
      control: {...defaultOptions.control, ...options.control},
    };
    this.connections = new ConnectionCache(
      (upstream, address) =>
        new HttpEngineConnection(upstream, address, mergedOptions),
    );
  }

  override connect(upstream: string, address: string): EngineConnection {
    return this.connections.get(upstream, address);
  }

  dispose(): void {
    this.connections.dispose();
  }
}

/** Connection to one engine; docs/PROTOCOLS.md specifies the protocol. */
class HttpEngineConnection
  extends EngineConnection
  implements CachedConnection
{
  private readonly stepClient: HttpClient;
  private readonly controlClient: HttpClient;

  constructor(
    private readonly upstream: string,
    address: string,
    options: EngineClientOptions,
  ) {
    super();
    this.stepClient = new HttpClient(address, options.steps);
    this.controlClient = new HttpClient(address, options.control);
  }

  get isIdle(): boolean {
    return this.stepClient.isIdle && this.controlClient.isIdle;
  }

  override async step(
    request: StepRequest,
    token: CancellationToken,
  ): Promise<Result<StepReceipt, EngineError>> {
    const httpRequest = createPostRequest('/v1/steps', request);
    const outcome = await this.stepClient.send(httpRequest, token);
    return toEngineResult(outcome, body => parseReceipt(request, body));
  }

  override async cancel(
    requestId: string,
    epoch: number,
    token: CancellationToken,
  ): Promise<Result<CancelReport, EngineError>> {
    const httpRequest = createPostRequest('/v1/cancellations', {
      requestId,
      epoch,
    });
    const outcome = await this.controlClient.send(httpRequest, token);
    return toEngineResult(outcome, body => parseCancelReport(requestId, body));
  }

  override async exportCache(
    requestId: string,
    token: CancellationToken,
  ): Promise<Result<CacheReference, EngineError>> {
    const httpRequest = createPostRequest('/v1/caches/exports', {requestId});
    const outcome = await this.controlClient.send(httpRequest, token);
    return toEngineResult(outcome, body =>
      parseCacheReference(requestId, body),
    );
  }

  override async importCache(
    requestId: string,
    epoch: number,
    reference: CacheReference,
    token: CancellationToken,
  ): Promise<Result<PositionRange, EngineError>> {
    const body = {requestId, epoch, reference};
    const httpRequest = createPostRequest('/v1/caches/imports', body);
    const outcome = await this.controlClient.send(httpRequest, token);
    return toEngineResult(outcome, response =>
      parseImportedPositions(requestId, response),
    );
  }

  override async report(
    token: CancellationToken,
  ): Promise<Result<EngineReport, EngineError>> {
    const httpRequest = {method: 'GET', path: '/v1/report'};
    const outcome = await this.controlClient.send(httpRequest, token);
    return toEngineResult(outcome, body =>
      parseEngineReport(this.upstream, body),
    );
  }

  override async order(
    order: EngineOrder,
    token: CancellationToken,
  ): Promise<Result<void, EngineError>> {
    const httpRequest = {
      ...createPostRequest('/v1/order', order),
      method: 'PUT',
    };
    const outcome = await this.controlClient.send(httpRequest, token);
    return toEngineResult(outcome, body => validateOrderResponse(order, body));
  }

  dispose(): void {
    this.stepClient.dispose();
    this.controlClient.dispose();
  }
}

function toEngineResult<T>(
  outcome: HttpOutcome,
  parse: (body: unknown) => Result<T, EngineError>,
): Result<T, EngineError> {
  switch (outcome.kind) {
    case 'notSent':
      return failure({kind: 'unreachable', detail: outcome.detail});
    case 'tooMany':
      return failure({
        kind: 'overloaded',
        retryAfterMilliseconds: QUEUE_FULL_RETRY_MILLISECONDS,
      });
    case 'lost':
      return failure({kind: 'lost', detail: outcome.detail});
    case 'cancelled':
      return failure({kind: 'cancelled'});
    case 'answered': {
      const body = parseJson(outcome.body);
      return outcome.status === 200
        ? parse(body)
        : failure(parseEngineError(outcome.status, body));
    }
  }
}

function createPostRequest(path: string, body: unknown): HttpRequest {
  return {
    method: 'POST',
    path,
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(body),
  };
}
