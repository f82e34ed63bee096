import {ChatMessage} from '../../requests/common/request.js';

/** Converts between text and tokens: each word is a token, and words are joined by one space. */

const WORD_PATTERN = /\S+/g;
const SEPARATOR = ' ';

/** Splits messages into tokens; each message starts with a token for its role. */
export function promptTokens(
  messages: readonly ChatMessage[],
): readonly string[] {
  return messages.flatMap(message => [
    `<${message.role}>`,
    ...(message.content.match(WORD_PATTERN) ?? []),
  ]);
}

/** The text that a token adds to a reply; the concatenation over all tokens equals {@link replyText}. */
export function tokenText(token: string, index: number): string {
  return index === 0 ? token : `${SEPARATOR}${token}`;
}

/** The complete text of a reply. */
export function replyText(tokens: readonly string[]): string {
  return tokens.join(SEPARATOR);
}
