/** What a log line says about something that was thrown. */
export interface ErrorDescription {
  readonly detail: string;
  readonly stack?: string | undefined;
}

/** Describes anything that can be thrown; does not throw itself. */
export function describeError(error: unknown): ErrorDescription {
  try {
    return error instanceof Error
      ? {detail: error.message, stack: error.stack}
      : {detail: String(error)};
  } catch {
    return {detail: 'an error that cannot be described'};
  }
}
