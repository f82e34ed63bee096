import {execFile} from 'node:child_process';
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';

import {LaunchedSystem} from '../test/support/launcher.js';
import {repositoryRoot} from '../test/support/managedProcess.js';

/** Runs `redwing`, the operators' command line, against a launched system. */

/** Result of a command; the output is that of stdout followed by stderr. */
export interface CommandResult {
  readonly exitCode: number;
  readonly output: string;
}

const TIMEOUT_MILLISECONDS = 15_000;
const PROGRAM = 'dist/src/programs/redwing/main.js';

/** Runs commands with a settings file and a key file in the system's directory. */
export class OperatorTool {
  private readonly settingsFile: string;

  constructor(system: LaunchedSystem) {
    const keyFile = join(system.directory, 'operator.key');
    writeFileSync(keyFile, system.operatorKey, {mode: 0o600});
    this.settingsFile = join(system.directory, 'redwing.json');
    const settings = {
      controlAddresses: system.instances.map(
        instance => instance.member.controlAddress,
      ),
      operatorKeyFile: keyFile,
      timeoutSeconds: 5,
    };
    writeFileSync(this.settingsFile, JSON.stringify(settings));
  }

  run(commandWords: readonly string[]): Promise<CommandResult> {
    const program = join(repositoryRoot(), PROGRAM);
    const commandArguments = [
      program,
      ...commandWords,
      '--settings',
      this.settingsFile,
    ];
    return new Promise(resolve => {
      execFile(
        process.execPath,
        commandArguments,
        {timeout: TIMEOUT_MILLISECONDS},
        (error, stdout, stderr) => {
          const code = error === null ? 0 : error.code;
          const exitCode = typeof code === 'number' ? code : 1;
          resolve({exitCode, output: `${stdout}${stderr}`.trim()});
        },
      );
    });
  }
}
