import {ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {join} from 'node:path';
import process from 'node:process';

import {afterAll, beforeAll, beforeEach, expect, it} from 'vitest';

import {FaultTestFixture} from '../prove/faultTestFixture.js';
import {builtProgramPath} from '../support/managedProcess.js';
import {sleep} from '../support/sleep.js';
import {InstanceHandle} from '../support/systemHandles.js';

/** Programs whose log is read through a pipe by a reader that ends. */

/** Longer than the time in which a program that has started logs a line. */
const OBSERVATION_MILLISECONDS = 2_000;

let fixture: FaultTestFixture;
let instance: InstanceHandle;

beforeAll(async () => {
  fixture = await FaultTestFixture.launch();
  instance = fixture.instance(2);
});

afterAll(() => fixture?.dispose());

beforeEach(() => fixture.startCase());

// The next line of the log ended the process with all its work.
it.each(['entry', 'control'] as const)(
  'the %s program goes on when the reader of its log ends, and stops as usual',
  async program => {
    await instance[program].kill();
    const settings = `${instance.id}-${program}.json`;
    const child: ChildProcess = spawn(
      process.execPath,
      [
        builtProgramPath(`src/programs/${program}/main.js`),
        join(fixture.system.directory, settings),
      ],
      {stdio: ['ignore', 'pipe', 'ignore'], env: {}},
    );
    const exit = once(child, 'exit');
    child.stdout!.destroy();
    await sleep(OBSERVATION_MILLISECONDS);
    expect(child.exitCode).toBeNull();
    child.kill('SIGTERM');
    expect(await exit).toEqual([0, null]);
    await instance[program].restart();
    await fixture.system.waitUntilReady();
  },
);
