import {CancellationToken} from '../../../base/common/cancellation.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {failure, Result, success} from '../../../base/common/result.js';
import {
  CachedConnection,
  ConnectionCache,
} from '../../http/node/connectionCache.js';
import {HttpClient, HttpClientOptions} from '../../http/node/httpClient.js';
import {HttpAnswer, HttpHeaders} from '../../http/node/httpExchange.js';
import {
  retryMilliseconds,
  saysNotExecuted,
} from '../../http/node/storageClient.js';
import {
  ServiceConnection,
  ServiceConnector,
  ServiceError,
  ServiceRequest,
  ServiceResponse,
} from '../common/serviceConnection.js';

/** Names the request in calls and, from services that know it, in answers. */
const REQUEST_HEADER = 'redwing-request-id';

/** Connects to plain services; owns their connections. */
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

/** One replica of a plain service over HTTP. */
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
        return classify(request, outcome);
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

function classify(
  request: ServiceRequest,
  answer: HttpAnswer,
): Result<ServiceResponse, ServiceError> {
  const requestId = single(answer.headers, REQUEST_HEADER);
  if (requestId !== undefined && requestId !== request.requestId) {
    const detail = 'the service answered another request';
    return failure({kind: 'mismatch', detail});
  }
  if (isRefusal(answer)) {
    const retryAfterMilliseconds = retryMilliseconds(answer.headers);
    return failure({kind: 'refused', retryAfterMilliseconds});
  }
  const contentType = single(answer.headers, 'content-type');
  const {status, body} = answer;
  return success({status, contentType, body, requestId});
}

function isRefusal(answer: HttpAnswer): boolean {
  const refusalStatus = answer.status === 429 || answer.status === 503;
  return refusalStatus && saysNotExecuted(answer.headers);
}

function single(headers: HttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}
