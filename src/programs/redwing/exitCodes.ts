/** Exit codes of the command line, as documented in docs/OPERATIONS.md. */
export const exitCodes = {
  /** Success; a submitted change was accepted. */
  done: 0,
  /** Internal error. */
  internal: 1,
  /** Invalid command line or settings; nothing was changed. */
  usage: 2,
  /** Invalid value or change file; nothing was changed. */
  invalid: 3,
  /** Another change was accepted first; nothing was changed. */
  conflict: 4,
  /** No control program could serve the call; nothing was changed. */
  unavailable: 5,
  /** The change may or may not have been accepted. */
  outcomeUnknown: 6,
  /** The operator's key was rejected. */
  unauthenticated: 7,
  /** The named entry doesn't exist. */
  notFound: 8,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
