import {describeError} from '../../../base/common/describeError.js';
import {Logger} from '../../logging/common/logger.js';

/** The source of errors that nothing else has handled; in the programs, `process`. */
export interface UncaughtErrorSource {
  on(
    event: 'uncaughtException' | 'unhandledRejection',
    listener: (error: unknown) => void,
  ): unknown;
}

/** Logs errors that nothing else has handled, whatever was thrown; the process goes on. */
export function logUncaughtErrors(
  logger: Logger,
  source: UncaughtErrorSource = process,
): void {
  source.on('unhandledRejection', error =>
    logger.error('unhandled rejection', {...describeError(error)}),
  );
  source.on('uncaughtException', error =>
    logger.error('uncaught exception', {...describeError(error)}),
  );
}
