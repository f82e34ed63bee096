import {ChatMessage} from '../../requests/common/request.js';

/** Between texts and tokens: a token is a word, and words are joined by one space. */

const WORD_PATTERN = /\S+/g;
const SEPARATOR = ' ';

/** Splits messages into token texts; the role opens each message. */
export function promptTokens(
  messages: readonly ChatMessage[],
): readonly string[] {
  return messages.flatMap(message => [
    `<${message.role}>`,
    ...(message.content.match(WORD_PATTERN) ?? []),
  ]);
}

/** What a token adds to the text of a reply; the parts of all tokens make the whole text. */
export function tokenText(token: string, index: number): string {
  return index === 0 ? token : `${SEPARATOR}${token}`;
}

/** The whole text of a reply. */
export function replyText(tokens: readonly string[]): string {
  return tokens.join(SEPARATOR);
}
