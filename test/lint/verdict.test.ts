import {spawnSync} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

/** The verdict of CI on a test report. */

interface Case {
  readonly name: string;
  /** Status of each test by its name; undefined when the run left no report. */
  readonly tests: Readonly<Record<string, 'passed' | 'failed'>> | undefined;
  readonly knownRed: string | undefined;
  readonly status: number;
  readonly verdict: number;
  readonly lastLine: string;
}

const cases: readonly Case[] = [
  {
    name: 'all pass',
    tests: {a: 'passed', b: 'passed'},
    knownRed: undefined,
    status: 0,
    verdict: 0,
    lastLine: '2 passed, 0 failed',
  },
  {
    name: 'a failure',
    tests: {a: 'passed', b: 'failed'},
    knownRed: undefined,
    status: 1,
    verdict: 1,
    lastLine: '1 passed, 1 failed',
  },
  {
    name: 'a listed failure',
    tests: {a: 'passed', b: 'failed'},
    knownRed: 'b, a cause, issue 3\n',
    status: 1,
    verdict: 0,
    lastLine: '1 passed, 1 failed',
  },
  {
    name: 'a failure whose name only begins like a listed one',
    tests: {a: 'passed', bc: 'failed'},
    knownRed: 'b, a cause, issue 3\n',
    status: 1,
    verdict: 1,
    lastLine: '1 passed, 1 failed',
  },
  {
    name: 'too many listed',
    tests: {a: 'failed'},
    knownRed: 'a, x, 3\nb, x, 3\nc, x, 3\nd, x, 3\n',
    status: 1,
    verdict: 1,
    lastLine: '0 passed, 1 failed',
  },
  {
    name: 'no test ran',
    tests: {},
    knownRed: undefined,
    status: 0,
    verdict: 1,
    lastLine: '0 passed, 0 failed',
  },
  {
    name: 'an error outside the tests',
    tests: {a: 'passed'},
    knownRed: undefined,
    status: 1,
    verdict: 1,
    lastLine: '1 passed, 0 failed',
  },
  {
    name: 'no report',
    tests: undefined,
    knownRed: undefined,
    status: 1,
    verdict: 1,
    lastLine: '0 passed, 0 failed',
  },
];

function makeReport(tests: Readonly<Record<string, string>>): string {
  const results = Object.entries(tests).map(([fullName, status]) => ({
    fullName,
    status,
  }));
  const count = (status: string) =>
    results.filter(result => result.status === status).length;
  return JSON.stringify({
    numPassedTests: count('passed'),
    numFailedTests: count('failed'),
    testResults: [
      {
        name: 'file',
        status: count('failed') > 0 ? 'failed' : 'passed',
        assertionResults: results,
      },
    ],
  });
}

describe('verdict of CI', () => {
  const script = path.resolve('.ci/verdict.js');
  let folder: string;

  beforeEach(() => {
    folder = mkdtempSync(path.join(tmpdir(), 'verdict-'));
  });

  afterEach(() => rmSync(folder, {recursive: true}));

  it.each(cases)(
    '$name',
    ({tests, knownRed, status, verdict, lastLine}: Case) => {
      const report = path.join(folder, 'report.json');
      writeFileSync(report, tests === undefined ? '' : makeReport(tests));
      if (knownRed !== undefined) {
        writeFileSync(path.join(folder, 'KNOWN-RED.txt'), knownRed);
      }
      const run = spawnSync(
        process.execPath,
        [script, report, String(status)],
        {cwd: folder, encoding: 'utf8'},
      );
      expect(run.status).toBe(verdict);
      expect(run.stdout.trimEnd().split('\n').at(-1)).toBe(lastLine);
    },
  );
});
