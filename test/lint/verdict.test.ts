import {spawnSync} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

/** Tests the CI script that decides from a test report whether the run passes. */

interface Case {
  readonly name: string;
  /** Status of each test by its name; undefined when the run wrote no report. */
  readonly tests: Readonly<Record<string, 'passed' | 'failed'>> | undefined;
  /** Content of KNOWN-RED.txt; undefined when there is no such file. */
  readonly knownRed: string | undefined;
  /** Exit status of the test run. */
  readonly status: number;
  /** Expected exit status of the script. */
  readonly expectedStatus: number;
  readonly lastLine: string;
}

const cases: readonly Case[] = [
  {
    name: 'passes when all tests pass',
    tests: {a: 'passed', b: 'passed'},
    knownRed: undefined,
    status: 0,
    expectedStatus: 0,
    lastLine: '2 passed, 0 failed',
  },
  {
    name: 'fails on a failed test',
    tests: {a: 'passed', b: 'failed'},
    knownRed: undefined,
    status: 1,
    expectedStatus: 1,
    lastLine: '1 passed, 1 failed',
  },
  {
    name: 'passes when every failed test is listed',
    tests: {a: 'passed', b: 'failed'},
    knownRed: 'b, a cause, issue 3\n',
    status: 1,
    expectedStatus: 0,
    lastLine: '1 passed, 1 failed',
  },
  {
    name: 'fails on a failed test that only shares a prefix with a listed one',
    tests: {a: 'passed', bc: 'failed'},
    knownRed: 'b, a cause, issue 3\n',
    status: 1,
    expectedStatus: 1,
    lastLine: '1 passed, 1 failed',
  },
  {
    name: 'passes over exactly the listed tests, however many are listed',
    tests: {a: 'failed', b: 'failed', c: 'failed', d: 'failed'},
    knownRed: 'a, x, 3\nb, x, 3\nc, x, 3\nd, x, 3\n',
    status: 1,
    expectedStatus: 0,
    lastLine: '0 passed, 4 failed',
  },
  {
    name: 'fails on one failed test beside many listed ones',
    tests: {a: 'failed', b: 'failed', c: 'failed', d: 'failed', e: 'failed'},
    knownRed: 'a, x, 3\nb, x, 3\nc, x, 3\nd, x, 3\n',
    status: 1,
    expectedStatus: 1,
    lastLine: '0 passed, 5 failed',
  },
  {
    name: 'fails when no test ran',
    tests: {},
    knownRed: undefined,
    status: 0,
    expectedStatus: 1,
    lastLine: '0 passed, 0 failed',
  },
  {
    name: 'fails on an error outside of the tests',
    tests: {a: 'passed'},
    knownRed: undefined,
    status: 1,
    expectedStatus: 1,
    lastLine: '1 passed, 0 failed',
  },
  {
    name: 'fails without a report',
    tests: undefined,
    knownRed: undefined,
    status: 1,
    expectedStatus: 1,
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

describe('CI verdict', () => {
  const script = path.resolve('.ci/verdict.js');
  let folder: string;

  beforeEach(() => {
    folder = mkdtempSync(path.join(tmpdir(), 'verdict-'));
  });

  afterEach(() => rmSync(folder, {recursive: true}));

  it.each(cases)(
    '$name',
    ({tests, knownRed, status, expectedStatus, lastLine}: Case) => {
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
      expect(run.status).toBe(expectedStatus);
      expect(run.stdout.trimEnd().split('\n').at(-1)).toBe(lastLine);
    },
  );
});
