import fs from 'node:fs';
import {register, syncBuiltinESMExports} from 'node:module';
import {Server} from 'node:net';
import process from 'node:process';

import {StartStage} from './startSignals.js';

/**
 * Preloaded with `--import`; lets the process send signals to itself at a stage of its start, which a signal from
 * another process can't hit reliably. The query of its URL holds the stage and the signals.
 */

const parameters = new URL(import.meta.url).searchParams;
const stage = parameters.get('stage') as StartStage;
const signals = parameters.getAll('signal') as NodeJS.Signals[];

function sendSignals(): void {
  for (const signal of signals.splice(0)) {
    process.kill(process.pid, signal);
  }
}

function signalWhenBundleIsRead(): void {
  const {readFileSync} = fs;
  fs.readFileSync = ((...args: Parameters<typeof readFileSync>) => {
    if (String(args[0]).endsWith('router.bundle')) {
      sendSignals();
    }
    return readFileSync(...args);
  }) as typeof readFileSync;
  syncBuiltinESMExports();
}

function signalWhenListening(): void {
  const {listen} = Server.prototype;
  Server.prototype.listen = function (this: Server, ...args: unknown[]) {
    sendSignals();
    return listen.apply(this, args as Parameters<typeof listen>);
  } as typeof listen;
}

if (stage === 'loading') {
  signalWhenBundleIsRead();
  register('./signalAtLoad.js', import.meta.url, {data: signals});
} else {
  signalWhenListening();
}
