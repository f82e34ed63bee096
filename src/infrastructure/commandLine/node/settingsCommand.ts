import {BaseContext, Command, Option} from 'clipanion';

import {Finding, formatFinding} from '../../../base/common/finding.js';
import {Result} from '../../../base/common/result.js';
import {ProcessSignals} from '../../process/node/processSignals.js';
import {
  ProgramRunner,
  restartNeeded,
  RunnableProgram,
} from '../../process/node/programRunner.js';
import {Logger} from '../../logging/common/logger.js';
import {ignoreWriteErrors} from '../../logging/node/ignoreWriteErrors.js';
import {USAGE_EXIT_CODE} from './runCommandLine.js';

/** Commands of programs that run until a signal and take a settings file. */

/** Context of the commands. */
export interface SignalContext extends BaseContext {
  readonly signals: ProcessSignals;
}

/** A program together with its logger and the limit of its stop. */
export interface LoggedProgram extends RunnableProgram {
  readonly logger: Logger;
  readonly stopLimitMilliseconds: number;
}

/** A command that takes a settings file; invalid settings end it with all findings on standard error. */
export abstract class SettingsCommand<T> extends Command<SignalContext> {
  readonly settingsFile = Option.String({name: 'settings'});

  override async execute(): Promise<number> {
    const loaded = this.load(this.settingsFile);
    if (!loaded.ok) {
      const lines = loaded.error.map(finding => `${formatFinding(finding)}\n`);
      this.context.stderr.write(lines.join(''));
      return USAGE_EXIT_CODE;
    }
    return this.executeWith(loaded.value);
  }

  /** Reads and checks the settings file and the files that it refers to. */
  protected abstract load(path: string): Result<T, readonly Finding[]>;

  protected abstract executeWith(loaded: T): Promise<number>;

  /** Reports that the settings are valid. */
  protected async confirmValid(): Promise<number> {
    this.context.stdout.write('settings are valid\n');
    return 0;
  }

  /** Runs a program until a stop signal; resolves with the exit code. */
  protected runProgram(program: LoggedProgram): Promise<number> {
    const {signals, stdout, stderr} = this.context;
    ignoreWriteErrors(stdout);
    ignoreWriteErrors(stderr);
    const runner = new ProgramRunner(program, signals, program.logger, {
      stopLimitMilliseconds: program.stopLimitMilliseconds,
      hangUpAction: restartNeeded,
    });
    return runner.run();
  }
}
