import bunyan from 'bunyan';

import {DecisionFields, LogFields, Logger} from '../common/logger.js';

/** Log levels that are valid in settings. */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error';

/** Fields with these names are redacted, in case a secret is logged by mistake. */
const SECRET_FIELD =
  /^(authorization|password|secret|(peer|bearer|operator|api)-?key)$/i;

const REDACTED = 'redacted';

/** Writes JSON lines with bunyan to a stream, by default standard output. No call throws. */
export class BunyanLogger extends Logger {
  private constructor(private readonly log: bunyan) {
    super();
  }

  /** Creates the logger of a program. */
  static create(
    program: string,
    level: LogLevel,
    fields: LogFields = {},
    stream: NodeJS.WritableStream = process.stdout,
  ): BunyanLogger {
    const options = {...redactSecrets(fields), name: program, level, stream};
    return new BunyanLogger(bunyan.createLogger(options));
  }

  override decision(name: string, fields: DecisionFields): void {
    this.write('info', {...fields, decision: name}, name);
  }

  override info(message: string, fields: LogFields = {}): void {
    this.write('info', fields, message);
  }

  override warn(message: string, fields: LogFields = {}): void {
    this.write('warn', fields, message);
  }

  override error(message: string, fields: LogFields = {}): void {
    this.write('error', fields, message);
  }

  override child(fields: LogFields): Logger {
    return new BunyanLogger(this.log.child(redactSecrets(fields)));
  }

  private write(level: LogLevel, fields: LogFields, message: string): void {
    try {
      this.log[level](redactSecrets(fields), message);
    } catch (error) {
      this.writeWithoutFields(level, message, String(error));
    }
  }

  private writeWithoutFields(
    level: LogLevel,
    message: string,
    leftOut: string,
  ): void {
    try {
      this.log[level]({leftOut}, message);
    } catch {
      // The stream itself fails, so there is no log to tell it to.
    }
  }
}

function redactSecrets(fields: LogFields): Record<string, unknown> {
  const redactedFields: Record<string, unknown> = {...fields};
  for (const name of Object.keys(redactedFields)) {
    if (SECRET_FIELD.test(name)) {
      redactedFields[name] = REDACTED;
    }
  }
  return redactedFields;
}
