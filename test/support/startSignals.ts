import {pathToFileURL} from 'node:url';

import {builtProgramPath} from './managedProcess.js';

/** Stages of a start at which a process can be made to send signals to itself. */
export type StartStage = 'loading' | 'listening';

/** Options of Node.js that make a process send signals to itself at a stage of its start. */
export function signalAtStart(
  stage: StartStage,
  signals: readonly NodeJS.Signals[],
): readonly string[] {
  const url = pathToFileURL(builtProgramPath('test/support/signalAtStart.js'));
  url.searchParams.set('stage', stage);
  signals.forEach(signal => url.searchParams.append('signal', signal));
  return ['--import', url.href];
}
