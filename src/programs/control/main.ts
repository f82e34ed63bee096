#!/usr/bin/env node
import {ProcessSignals} from '../../infrastructure/process/node/processSignals.js';

/** Command line of the program `redwing-control`. Signals are received before the rest is loaded, which takes longest. */

const signals = new ProcessSignals();
const {runControl} = await import('./runControl.js');
const exitCode = await runControl(process.argv.slice(2), process, signals);
// Open connections and a start that was interrupted must not delay the exit.
process.exit(exitCode);
