import {Result, failure, success} from '../../../base/common/result.js';

/** Parsing of JSON that tells where the text goes wrong. */

/** A place in a text; both count from 1. */
export interface TextPlace {
  readonly line: number;
  readonly column: number;
}

/** Parses JSON, or tells the place of the first character that can't stand there. */
export function parseJsonText(text: string): Result<unknown, TextPlace> {
  try {
    return success(JSON.parse(text));
  } catch {
    return failure(toPlace(text, firstBadOffset(text)));
  }
}

/**
 * The length of the longest beginning of the text that could still become JSON. The parser's own
 * messages name no offset for some errors, so the text is halved until the place is found.
 */
function firstBadOffset(text: string): number {
  let good = 0;
  let bad = text.length + 1;
  while (bad - good > 1) {
    const middle = Math.floor((good + bad) / 2);
    if (couldContinue(text.slice(0, middle))) {
      good = middle;
    } else {
      bad = middle;
    }
  }
  return good;
}

/** Whether the only thing wrong with a text is that it ends too early. */
function couldContinue(beginning: string): boolean {
  try {
    JSON.parse(beginning);
    return true;
  } catch (error) {
    const message = (error as SyntaxError).message;
    if (/^(Unexpected end|Unterminated)/.test(message)) {
      return true;
    }
    const offset = /at position (\d+)/.exec(message)?.[1];
    return offset !== undefined && Number(offset) >= beginning.length;
  }
}

function toPlace(text: string, offset: number): TextPlace {
  const lines = text.slice(0, offset).split('\n');
  return {line: lines.length, column: lines[lines.length - 1].length + 1};
}
