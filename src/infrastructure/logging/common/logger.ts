/** Structured logging, as a port. */

/** The fields of a log line; never keys or bodies. */
export type LogFields = Readonly<Record<string, unknown>>;

/** The fields of a decision's line; `decision` holds its name. */
export type DecisionFields = LogFields & {readonly decision?: never};

/** Writes one JSON line a call. */
export abstract class Logger {
  /** One line for each routing or placement decision. */
  abstract decision(name: string, fields: DecisionFields): void;
  abstract info(message: string, fields?: LogFields): void;
  abstract warn(message: string, fields?: LogFields): void;
  abstract error(message: string, fields?: LogFields): void;
  /** A logger that adds fields to every line. */
  abstract child(fields: LogFields): Logger;
}

/** Drops everything; for tests and measures. */
export class SilentLogger extends Logger {
  override decision(): void {}
  override info(): void {}
  override warn(): void {}
  override error(): void {}
  override child(): Logger {
    return this;
  }
}
