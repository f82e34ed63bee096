/** What surrounds the body of a message. A response that does not mark its own end looks complete wherever its connection ends. */

/**
 * Maximum size of all that surrounds a body, such as headers, chunk sizes and informational responses, beyond the size of the body
 * itself. Twice the size of the longest headers.
 */
export const FRAMING_LIMIT_BYTES = 128 * 1024;

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** The only transfer coding that marks the end of a response, if it comes last. */
const CHUNKED = 'chunked';

/** Response headers with names in lower case. */
type Headers = Readonly<Record<string, unknown>>;

/** Whether a response has a length, chunks or a status without a body. */
export function marksItsEnd(status: number, headers: Headers): boolean {
  if (status === NO_CONTENT || status === NOT_MODIFIED) {
    return true;
  }
  const coding = headers['transfer-encoding'];
  // A transfer coding takes precedence over a length.
  return coding === undefined
    ? headers['content-length'] !== undefined
    : lastCodingOf(coding) === CHUNKED;
}

function lastCodingOf(coding: unknown): string | undefined {
  return String(coding).split(',').at(-1)?.trim().toLowerCase();
}
