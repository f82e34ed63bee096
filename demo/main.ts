import {
  exampleOperations,
  exampleOptions,
} from '../test/support/exampleSystem.js';
import {LaunchedSystem} from '../test/support/launcher.js';
import {DemoSteps} from './demoSteps.js';

/** Starts the stand-ins and programs on the loopback interface, runs the steps of the demo, and stops everything. */

const TIMEOUT_MILLISECONDS = 50_000;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function rejectAfter(milliseconds: number): Promise<never> {
  return new Promise((_, reject) => {
    const fail = () =>
      reject(new Error(`the demo did not finish within ${milliseconds} ms`));
    setTimeout(fail, milliseconds).unref();
  });
}

async function runDemo(): Promise<void> {
  const timeout = rejectAfter(TIMEOUT_MILLISECONDS);
  const launch = LaunchedSystem.launch(exampleOptions, exampleOperations);
  const system = await Promise.race([launch, timeout]);
  try {
    await Promise.race([new DemoSteps(system, print).run(), timeout]);
  } finally {
    await system.dispose();
  }
}

try {
  await runDemo();
  print('\nThe demo succeeded.');
} catch (error) {
  process.stderr.write(`The demo failed: ${String(error)}\n`);
  process.exit(1);
}
process.exit(0);
