import {CancellationToken} from '../../../base/common/cancellation.js';
import {Result} from '../../../base/common/result.js';
import {ModelReply, ModelRequest} from '../../requests/common/request.js';
import {RequestFailure} from '../../requests/common/failure.js';

/** Drives one request through a pipeline of engines, token by token. */

/** Receives released tokens in order, each once. A returned promise is awaited: it carries back pressure. */
export type TokenSink = (token: string, index: number) => void | Promise<void>;

/** Runs a model request from reservation to whole reply. */
export abstract class PipelineDriver {
  /**
   * Resolves with the whole reply, or with a failure that says truthfully whether anything ran.
   * After cancellation the engines' work is cancelled before it resolves or shortly after.
   */
  abstract run(
    request: ModelRequest,
    sink: TokenSink,
    token: CancellationToken,
  ): Promise<Result<ModelReply, RequestFailure>>;
}
