import {ChatMessage} from '../../requests/common/request.js';

/** The prompt as tokens. Engines take token texts; a token is a word with the space after it. */

const WORD_PATTERN = /\S+\s*/g;

/** Splits messages into token texts; the role opens each message. */
export function promptTokens(
  messages: readonly ChatMessage[],
): readonly string[] {
  return messages.flatMap(message => [
    `<${message.role}>`,
    ...(message.content.match(WORD_PATTERN) ?? []),
  ]);
}
