import {Result, failure, success} from '../../../base/common/result.js';

/** JSON parsing that reports the position of a syntax error. */

/** A position in a text; lines and columns are counted from 1. */
export interface TextPosition {
  readonly line: number;
  readonly column: number;
}

/** Parses JSON; fails with the position of the first invalid character. */
export function parseJsonText(text: string): Result<unknown, TextPosition> {
  try {
    return success(JSON.parse(text));
  } catch {
    return failure(toPosition(text, findErrorOffset(text)));
  }
}

/**
 * Returns the length of the longest prefix of the text that could be continued to valid JSON. Some messages of the
 * parser contain no offset, so the prefix is found by binary search.
 */
function findErrorOffset(text: string): number {
  let validLength = 0;
  let invalidLength = text.length + 1;
  while (invalidLength - validLength > 1) {
    const middle = Math.floor((validLength + invalidLength) / 2);
    if (isValidPrefix(text.slice(0, middle))) {
      validLength = middle;
    } else {
      invalidLength = middle;
    }
  }
  return validLength;
}

/** Whether a text is valid JSON or could be continued to valid JSON. */
function isValidPrefix(prefix: string): boolean {
  try {
    JSON.parse(prefix);
    return true;
  } catch (error) {
    const message = (error as SyntaxError).message;
    if (/^(Unexpected end|Unterminated)/.test(message)) {
      return true;
    }
    const offset = /at position (\d+)/.exec(message)?.[1];
    return offset !== undefined && Number(offset) >= prefix.length;
  }
}

function toPosition(text: string, offset: number): TextPosition {
  const lines = text.slice(0, offset).split('\n');
  return {line: lines.length, column: lines[lines.length - 1].length + 1};
}
