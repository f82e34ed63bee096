import {CancellationToken} from '../../../base/common/cancellation.js';
import {failure, Result} from '../../../base/common/result.js';
import {
  ServiceConnector,
  ServiceResponse,
} from '../../../infrastructure/service/common/serviceConnection.js';
import {
  ServiceCallRequest,
  ServiceDispatcher,
} from '../../callers/common/serviceDispatcher.js';
import {RequestFailure} from '../../requests/common/failure.js';
import {CapacityBroker} from '../../routing/common/routing.js';

/** Baseline for comparison: sends each call once, to the next replica. */
export class NaiveServiceDispatcher extends ServiceDispatcher {
  constructor(
    private readonly broker: CapacityBroker,
    private readonly connector: ServiceConnector,
  ) {
    super();
  }

  override async dispatch(
    request: ServiceCallRequest,
    token: CancellationToken,
  ): Promise<Result<ServiceResponse, RequestFailure>> {
    const choice = this.broker.chooseService(request.service, []);
    if (choice.kind === 'none') {
      return failure({
        error: {kind: 'noUpstream', detail: 'no replica is live'},
        executed: 'no',
        retryAfterMilliseconds: choice.retryAfterMilliseconds,
        addresses: [],
      });
    }
    const connection = this.connector.connect(choice.upstream, choice.address);
    const response = await connection.call(request, token);
    if (response.ok) {
      return response;
    }
    return failure({
      error: {kind: 'upstreamFailed', detail: response.error.kind},
      executed: 'unknown',
      retryAfterMilliseconds: undefined,
      addresses: [],
    });
  }
}
