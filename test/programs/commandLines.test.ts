import {execFile} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {version} from '../../src/base/common/version.js';
import {repositoryRoot} from '../support/managedProcess.js';

/** Options, exit codes and messages that the command lines of all programs share. */

const USAGE_EXIT_CODE = 2;

interface CommandLineCase {
  readonly name: string;
  readonly commandArguments: readonly string[];
  readonly exitCode: number;
  readonly output: string;
}

const cases: readonly CommandLineCase[] = [
  {
    name: 'prints the version',
    commandArguments: ['--version'],
    exitCode: 0,
    output: version,
  },
  {
    name: 'prints help',
    commandArguments: ['--help'],
    exitCode: 0,
    output: 'check-settings',
  },
  {
    name: 'rejects an unknown option',
    commandArguments: ['check-settings', '--nonsense'],
    exitCode: USAGE_EXIT_CODE,
    output: '--nonsense',
  },
  {
    name: 'rejects settings with an unknown field',
    commandArguments: ['check-settings', '{settings}'],
    exitCode: USAGE_EXIT_CODE,
    output: '$.surplus: no such field',
  },
  {
    name: 'rejects a missing settings file',
    commandArguments: ['check-settings', '{missing}'],
    exitCode: USAGE_EXIT_CODE,
    output: 'a readable file (ENOENT)',
  },
];

const programs = ['entry', 'control', 'redwing'];

describe.each(programs)('command line of %s', program => {
  let directory: string;

  beforeAll(() => {
    directory = mkdtempSync(join(tmpdir(), 'command-line-'));
    writeFileSync(join(directory, 'settings.json'), '{"surplus": 1}');
  });

  afterAll(() => rmSync(directory, {recursive: true}));

  function argumentsOf(testCase: CommandLineCase): readonly string[] {
    return testCase.commandArguments.flatMap(argument => {
      const file = /^\{(.+)\}$/.exec(argument)?.[1];
      if (file === undefined) {
        return [argument];
      }
      const path = join(directory, `${file}.json`);
      return program === 'redwing' ? ['--settings', path] : [path];
    });
  }

  it.each(cases)('$name', async testCase => {
    const main = join(repositoryRoot(), `dist/src/programs/${program}/main.js`);
    const result = await new Promise<{code: unknown; output: string}>(
      resolve => {
        const argv = [main, ...argumentsOf(testCase)];
        execFile(process.execPath, argv, (error, stdout, stderr) =>
          resolve({code: error?.code ?? 0, output: stdout + stderr}),
        );
      },
    );
    expect(result.output).toContain(testCase.output);
    expect(result.code).toBe(testCase.exitCode);
  });
});
