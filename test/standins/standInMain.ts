import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

import {Disposable} from '../../src/base/common/lifecycle.js';

/** Starts a stand-in with the settings file named on the command line, if its module is the main program. */
export async function runAsProgram<Settings>(
  moduleUrl: string,
  start: (settings: Settings) => Promise<Disposable>,
): Promise<void> {
  const [, program, settingsFile] = process.argv;
  if (program !== fileURLToPath(moduleUrl) || settingsFile === undefined) {
    return;
  }
  const text = readFileSync(settingsFile, 'utf8');
  const standIn = await start(JSON.parse(text) as Settings);
  const stop = (): void => {
    standIn.dispose();
    process.exit(0);
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
  process.stdout.write(`${JSON.stringify({msg: 'ready'})}\n`);
}
