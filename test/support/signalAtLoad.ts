import {LoadHook} from 'node:module';
import process from 'node:process';

/** Module hooks that send signals to the process when it loads the main module of a program's parts. */

const PROGRAM_MODULE = /\/(entry|control)Program\.js$/;

let signals: readonly NodeJS.Signals[] = [];

/** Receives the signals to send. */
export function initialize(data: readonly NodeJS.Signals[]): void {
  signals = data;
}

/** Sends the signals before the module is loaded. */
export const load: LoadHook = (url, context, nextLoad) => {
  if (PROGRAM_MODULE.test(url)) {
    signals.forEach(signal => process.kill(process.pid, signal));
  }
  return nextLoad(url, context);
};
