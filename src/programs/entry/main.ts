#!/usr/bin/env node
import {ProcessSignals} from '../../infrastructure/process/node/processSignals.js';

/** Command line of the program `redwing-entry`. Signals are received before the rest is loaded, which takes longest. */

const signals = new ProcessSignals();
const {runEntry} = await import('./runEntry.js');
const exitCode = await runEntry(process.argv.slice(2), process, signals);
// Open connections and a start that was interrupted must not delay the exit.
process.exit(exitCode);
