/** What the command line's exit status tells; documented in docs/OPERATIONS.md. */
export const exitCodes = {
  /** Done; a change is accepted. */
  done: 0,
  /** A fault of the program itself. */
  internal: 1,
  /** The command line or the settings can't be used; nothing was changed. */
  usage: 2,
  /** A value or a file of changes is wrong; nothing was changed. */
  invalid: 3,
  /** Another change came first; nothing was changed. */
  conflict: 4,
  /** No control program could serve the call; nothing was changed. */
  unavailable: 5,
  /** The change may or may not have been accepted. */
  outcomeUnknown: 6,
  /** The operator's key was refused. */
  unauthenticated: 7,
  /** The named thing doesn't exist. */
  notFound: 8,
} as const;

/** One of the exit statuses. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
