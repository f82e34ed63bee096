import {ResponseContent} from '../common/claimActions.js';
import {ReplyFormat} from '../common/replyFormat.js';
import {CallerResponse} from './callerResponse.js';

/** Sends complete replies in the format that the caller requested. */

/** Completes the response to a request that ran; the stream is already open unless the reply has no tokens. */
export function sendReply(
  response: CallerResponse,
  format: ReplyFormat,
  content: ResponseContent,
  tokenCount: number,
): void {
  if (!format.isStreaming) {
    response.sendContent(content);
    return;
  }
  if (tokenCount === 0) {
    response.startEventStream(format.opening());
  }
  response.endWith(format.closing(content));
}

/** Sends a recorded reply whose body is already in the requested format. */
export function sendRecordedReply(
  response: CallerResponse,
  format: ReplyFormat,
  content: ResponseContent,
): void {
  if (!format.isStreaming) {
    response.sendContent(content);
    return;
  }
  response.startEventStream('');
  response.endWith(content.body);
}
