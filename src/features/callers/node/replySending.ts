import {CallerAnswer} from '../common/claimAnswers.js';
import {ReplyFormat} from '../common/replyFormat.js';
import {CallerResponse} from './callerResponse.js';

/** Sends whole replies in the format that the caller asked for. */

/** Ends an answer with a reply just made; the first of its tokens has opened the stream. */
export function sendReply(
  response: CallerResponse,
  format: ReplyFormat,
  answer: CallerAnswer,
  tokenCount: number,
): void {
  if (!format.streams) {
    response.sendWhole(answer);
    return;
  }
  if (tokenCount === 0) {
    response.openEvents(format.opening());
  }
  response.finish(format.closing(answer));
}

/** Sends a recorded reply, whose body is already in the format. */
export function sendRecorded(
  response: CallerResponse,
  format: ReplyFormat,
  answer: CallerAnswer,
): void {
  if (!format.streams) {
    response.sendWhole(answer);
    return;
  }
  response.openEvents('');
  response.finish(answer.body);
}
