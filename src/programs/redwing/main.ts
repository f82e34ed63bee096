#!/usr/bin/env node
import {runRedwing} from './runRedwing.js';

/** `redwing`, the command line for operators. */
process.exitCode = await runRedwing(process.argv.slice(2), process);
