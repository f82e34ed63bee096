import {CancellationToken} from '../../../base/common/cancellation.js';
import {Result} from '../../../base/common/result.js';
import {ModelReply, ModelRequest} from '../../requests/common/request.js';
import {RequestFailure} from '../../requests/common/failure.js';

/** Interface of the driver that runs a request on a pipeline of engines, token by token. */

/** Receives each released token once, in order. A returned promise is awaited, which applies back pressure. */
export type TokenSink = (token: string, index: number) => void | Promise<void>;

/** Runs a model request from the reservation to the complete reply. */
export abstract class PipelineDriver {
  /**
   * Resolves with the complete reply, or with a failure whose `executed` states whether anything ran.
   * After a cancellation, work on the engines is cancelled before the promise resolves or shortly after.
   */
  abstract run(
    request: ModelRequest,
    sink: TokenSink,
    token: CancellationToken,
  ): Promise<Result<ModelReply, RequestFailure>>;
}
