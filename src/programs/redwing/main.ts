#!/usr/bin/env node
import {runRedwing} from './runRedwing.js';

/** `redwing`, the operators' command line. */
process.exitCode = await runRedwing(process.argv.slice(2), process);
