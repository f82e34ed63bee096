import {
  exampleOperations,
  exampleOptions,
} from '../test/support/exampleSystem.js';
import {LaunchedSystem} from '../test/support/launcher.js';
import {DemoSteps} from './demoSteps.js';

/** Starts stand-ins and programs on loopback, shows some work and ends everything again. */

const LIMIT_MILLISECONDS = 50_000;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function within(milliseconds: number): Promise<never> {
  return new Promise((_, reject) => {
    const fail = () =>
      reject(new Error(`the demo took more than ${milliseconds} ms`));
    setTimeout(fail, milliseconds).unref();
  });
}

async function runDemo(): Promise<void> {
  const limit = within(LIMIT_MILLISECONDS);
  const launch = LaunchedSystem.launch(exampleOptions, exampleOperations);
  const system = await Promise.race([launch, limit]);
  try {
    await Promise.race([new DemoSteps(system, print).run(), limit]);
  } finally {
    await system.dispose();
  }
}

try {
  await runDemo();
  print('\nThe demo went as it should.');
} catch (error) {
  process.stderr.write(`The demo failed: ${String(error)}\n`);
  process.exit(1);
}
process.exit(0);
