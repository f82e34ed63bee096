/** Interface for structured logging. */

/** The fields of a log line. They must not contain keys or request bodies. */
export type LogFields = Readonly<Record<string, unknown>>;

/** The fields of a decision line. `decision` is reserved for the name of the decision. */
export type DecisionFields = LogFields & {readonly decision?: never};

/** Writes one JSON line per call. */
export abstract class Logger {
  /** Logs a routing or placement decision. */
  abstract decision(name: string, fields: DecisionFields): void;
  abstract info(message: string, fields?: LogFields): void;
  abstract warn(message: string, fields?: LogFields): void;
  abstract error(message: string, fields?: LogFields): void;
  /** Creates a logger that adds fields to every line. */
  abstract child(fields: LogFields): Logger;
}

/** Discards all lines; for tests and measurements. */
export class SilentLogger extends Logger {
  override decision(): void {}
  override info(): void {}
  override warn(): void {}
  override error(): void {}
  override child(): Logger {
    return this;
  }
}
