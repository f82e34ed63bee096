import bunyan from 'bunyan';

import {DecisionFields, LogFields, Logger} from '../common/logger.js';

/** Levels that settings may name. */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error';

/** Fields whose names look like secrets are replaced, as a second guard. */
const SECRET_FIELD =
  /^(authorization|password|secret|(peer|bearer|operator|api)-?key)$/i;

const REDACTED = 'redacted';

/** Writes JSON lines to standard output, or another stream, by bunyan. */
export class BunyanLogger extends Logger {
  private constructor(private readonly log: bunyan) {
    super();
  }

  /** A logger for one program. */
  static create(
    program: string,
    level: LogLevel,
    fields: LogFields = {},
    stream: NodeJS.WritableStream = process.stdout,
  ): BunyanLogger {
    const options = {...guard(fields), name: program, level, stream};
    return new BunyanLogger(bunyan.createLogger(options));
  }

  override decision(name: string, fields: DecisionFields): void {
    this.log.info({...guard(fields), decision: name}, name);
  }

  override info(message: string, fields: LogFields = {}): void {
    this.log.info(guard(fields), message);
  }

  override warn(message: string, fields: LogFields = {}): void {
    this.log.warn(guard(fields), message);
  }

  override error(message: string, fields: LogFields = {}): void {
    this.log.error(guard(fields), message);
  }

  override child(fields: LogFields): Logger {
    return new BunyanLogger(this.log.child(guard(fields)));
  }
}

function guard(fields: LogFields): Record<string, unknown> {
  const guarded: Record<string, unknown> = {...fields};
  for (const name of Object.keys(guarded)) {
    if (SECRET_FIELD.test(name)) {
      guarded[name] = REDACTED;
    }
  }
  return guarded;
}
