import {execFile} from 'node:child_process';
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';

import {LaunchedSystem} from '../test/support/launcher.js';
import {repositoryRoot} from '../test/support/managedProcess.js';

/** Runs `redwing`, the operators' command line, against a launched system. */

/** What a command wrote and how it ended. */
export interface CommandRun {
  readonly exitCode: number;
  readonly output: string;
}

const TIMEOUT_MILLISECONDS = 15_000;
const PROGRAM = 'dist/src/programs/redwing/main.js';

/** The command line with its settings and key in files of the system's directory. */
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

  run(words: readonly string[]): Promise<CommandRun> {
    const program = join(repositoryRoot(), PROGRAM);
    const line = [program, ...words, '--settings', this.settingsFile];
    return new Promise(resolve => {
      execFile(
        process.execPath,
        line,
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
