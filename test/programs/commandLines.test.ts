import {execFile} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {version} from '../../src/base/common/version.js';
import {repositoryRoot} from '../support/managedProcess.js';

/** What all programs have in common on the command line. */

const USAGE = 2;

interface Case {
  readonly name: string;
  readonly words: readonly string[];
  readonly exitCode: number;
  readonly output: string;
}

const cases: readonly Case[] = [
  {name: 'version', words: ['--version'], exitCode: 0, output: version},
  {name: 'help', words: ['--help'], exitCode: 0, output: 'check-settings'},
  {
    name: 'an unknown option',
    words: ['check-settings', '--nonsense'],
    exitCode: USAGE,
    output: '--nonsense',
  },
  {
    name: 'wrong settings',
    words: ['check-settings', '{settings}'],
    exitCode: USAGE,
    output: '$.surplus: no such field',
  },
  {
    name: 'no settings',
    words: ['check-settings', '{missing}'],
    exitCode: USAGE,
    output: 'a readable file (ENOENT)',
  },
];

const programs = ['entry', 'control', 'redwing'];

describe.each(programs)('command line of %s', program => {
  let folder: string;

  beforeAll(() => {
    folder = mkdtempSync(join(tmpdir(), 'command-line-'));
    writeFileSync(join(folder, 'settings.json'), '{"surplus": 1}');
  });

  afterAll(() => rmSync(folder, {recursive: true}));

  function wordsOf(one: Case): readonly string[] {
    return one.words.flatMap(word => {
      const file = /^\{(.+)\}$/.exec(word)?.[1];
      if (file === undefined) {
        return [word];
      }
      const path = join(folder, `${file}.json`);
      return program === 'redwing' ? ['--settings', path] : [path];
    });
  }

  it.each(cases)('$name', async one => {
    const main = join(repositoryRoot(), `dist/src/programs/${program}/main.js`);
    const run = await new Promise<{code: unknown; output: string}>(resolve => {
      const line = [main, ...wordsOf(one)];
      execFile(process.execPath, line, (error, stdout, stderr) =>
        resolve({code: error?.code ?? 0, output: stdout + stderr}),
      );
    });
    expect(run.output).toContain(one.output);
    expect(run.code).toBe(one.exitCode);
  });
});
