import {CancellationToken} from '../../../base/common/cancellation.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {failure, Result, success} from '../../../base/common/result.js';
import {
  CachedConnection,
  ConnectionCache,
} from '../../http/node/connectionCache.js';
import {HttpClient, HttpClientOptions} from '../../http/node/httpClient.js';
import {HttpResponse, HttpHeaders} from '../../http/node/httpExchange.js';
import {
  parseRetryAfter,
  isMarkedNotExecuted,
} from '../../http/node/storageClient.js';
import {
  ServiceConnection,
  ServiceConnector,
  ServiceError,
  ServiceRequest,
  ServiceResponse,
} from '../common/serviceConnection.js';

/** Carries the request id in requests and, if the service supports it, in responses. */
const REQUEST_HEADER = 'redwing-request-id';

/** Creates connections to plain services over HTTP, and owns them. */
export class HttpServiceConnector
  extends ServiceConnector
  implements Disposable
{
  private readonly connections: ConnectionCache<HttpServiceConnection>;

  constructor(options: Partial<HttpClientOptions> = {}) {
    super();
    this.connections = new ConnectionCache(
      (upstream, address) => new HttpServiceConnection(address, options),
    );
  }

  override connect(upstream: string, address: string): ServiceConnection {
    return this.connections.get(upstream, address);
  }

  dispose(): void {
    this.connections.dispose();
  }
}

/** Connection to one replica of a plain service. */
class HttpServiceConnection
  extends ServiceConnection
  implements CachedConnection
{
  private readonly client: HttpClient;

  constructor(address: string, options: Partial<HttpClientOptions>) {
    super();
    this.client = new HttpClient(address, options);
  }

  get isIdle(): boolean {
    return this.client.isIdle;
  }

  dispose(): void {
    this.client.dispose();
  }

  override async call(
    request: ServiceRequest,
    token: CancellationToken,
  ): Promise<Result<ServiceResponse, ServiceError>> {
    const headers: Record<string, string> = {
      [REQUEST_HEADER]: request.requestId,
    };
    if (request.contentType !== undefined) {
      headers['content-type'] = request.contentType;
    }
    const outcome = await this.client.send(
      {
        method: request.method,
        path: request.path,
        headers,
        body: request.body === '' ? undefined : request.body,
      },
      token,
    );
    switch (outcome.kind) {
      case 'answered':
        return toServiceResult(request, outcome);
      case 'notSent':
        return failure({kind: 'unreachable', detail: outcome.detail});
      case 'tooMany':
        return failure({kind: 'refused', retryAfterMilliseconds: 1000});
      case 'lost':
        return failure({kind: 'lost', detail: outcome.detail});
      case 'cancelled':
        return failure({
          kind: outcome.sent ? 'lost' : 'unreachable',
          detail: 'cancelled',
        });
    }
  }
}

function toServiceResult(
  request: ServiceRequest,
  response: HttpResponse,
): Result<ServiceResponse, ServiceError> {
  const requestId = firstHeaderValue(response.headers, REQUEST_HEADER);
  if (requestId !== undefined && requestId !== request.requestId) {
    const detail = 'the service answered another request';
    return failure({kind: 'mismatch', detail});
  }
  if (isRefusal(response)) {
    const retryAfterMilliseconds = parseRetryAfter(response.headers);
    return failure({kind: 'refused', retryAfterMilliseconds});
  }
  const contentType = firstHeaderValue(response.headers, 'content-type');
  const {status, body} = response;
  return success({status, contentType, body, requestId});
}

function isRefusal(response: HttpResponse): boolean {
  const hasRefusalStatus = response.status === 429 || response.status === 503;
  return hasRefusalStatus && isMarkedNotExecuted(response.headers);
}

function firstHeaderValue(
  headers: HttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}
