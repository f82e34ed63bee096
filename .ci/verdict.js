import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';

/** Judges a vitest JSON report: only tests listed in KNOWN-RED.txt may fail. */

const KNOWN_RED_FILE = 'KNOWN-RED.txt';

/** The listed tests; a line holds `test, cause, issue`, and the test is what its full name is. */
function readKnownRed() {
  if (!existsSync(KNOWN_RED_FILE)) {
    return [];
  }
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n');
  return lines.filter(line => line.trim() !== '');
}

/** Reads the report; a run that ended before writing one has no verdict but failure. */
function readReport(file) {
  const text = readFileSync(file, 'utf8');
  return text === '' ? undefined : JSON.parse(text);
}

function judge(report, knownRed) {
  const tests = report.testResults.flatMap(file => file.assertionResults);
  const failed = tests.filter(test => test.status === 'failed');
  const isKnown = test =>
    knownRed.some(line => line.startsWith(`${test.fullName},`));
  const brokenFiles = report.testResults.filter(
    file => file.status === 'failed' && !file.assertionResults.some(isFailed),
  );
  return {
    tests,
    known: failed.filter(isKnown),
    unexpected: failed.filter(test => !isKnown(test)),
    brokenFiles,
  };
}

function isFailed(test) {
  return test.status === 'failed';
}

/** Why the run is refused, one line each; none when it passes. */
function findReasons(verdict, status) {
  const reasons = [
    ...verdict.unexpected.map(test => `failed: ${test.fullName}`),
    ...verdict.brokenFiles.map(file => `could not run: ${file.name}`),
  ];
  if (verdict.tests.length === 0) {
    reasons.push('no test ran');
  }
  if (status !== 0 && reasons.length === 0 && verdict.known.length === 0) {
    reasons.push(`the test command ended with status ${status}`);
  }
  return reasons;
}

function main() {
  const [file, status] = process.argv.slice(2);
  const report = readReport(file);
  if (report === undefined) {
    console.log('the tests ended without a report');
    console.log('0 passed, 0 failed');
    return 1;
  }
  const knownRed = readKnownRed();
  const verdict = judge(report, knownRed);
  for (const test of verdict.known) {
    console.log(`known red: ${test.fullName}`);
  }
  const reasons = findReasons(verdict, Number(status));
  for (const reason of reasons) {
    console.log(reason);
  }
  console.log(
    `${report.numPassedTests} passed, ${report.numFailedTests} failed`,
  );
  return reasons.length === 0 ? 0 : 1;
}

process.exitCode = main();
