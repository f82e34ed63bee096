import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';

import {RouterInstance} from '../standins/fleet/system.js';
import {HistoryIndex} from './historyIndex.js';
import {Schedule} from './schedule.js';
import {CheckResult} from './verdict.js';

/** Writes the file that explains a failed run. */

/** More violations of one rule tell nothing new. */
const MOST_EXPLAINED = 10;

/** Length of the end of a log that explains the end of a process. */
const LOG_TAIL_LINES = 30;

/** What a failure is explained from. */
export interface FailureReport {
  readonly schedule: Schedule;
  /** `performance.now()` of the start of the traffic. */
  readonly start: number;
  readonly index: HistoryIndex;
  readonly results: ReadonlyArray<{
    readonly check: string;
    readonly result: CheckResult;
  }>;
}

/** Writes a file if a rule was broken and returns its path. */
export function writeFailure(
  report: FailureReport,
  instances: readonly RouterInstance[],
  directory: string,
): string | undefined {
  const broken = report.results.filter(
    ({result}) => result.violations.length > 0,
  );
  if (broken.length === 0) {
    return undefined;
  }
  const logs = new Map(
    instances.map(({name, process}) => [
      name,
      readFileSync(process.logFile, 'utf8').split('\n'),
    ]),
  );
  const failures = broken.flatMap(({check, result}) =>
    result.violations.slice(0, MOST_EXPLAINED).map(violation => ({
      check,
      ...violation,
      ...explain(report.index, violation.subject, logs),
    })),
  );
  const {schedule, start, index} = report;
  const {processEvents, impairments, departures} = index.history;
  const content = {
    schedule,
    processEvents,
    impairments,
    departures,
    failures,
  };
  mkdirSync(directory, {recursive: true});
  const file = join(directory, `soak-${schedule.seed}-${process.pid}.json`);
  const text = JSON.stringify(content, relativeTo(start), 2);
  writeFileSync(file, `${text}\n`);
  return file;
}

/** The attempts of the request, what upstreams saw, and the log lines of all processes that name it. */
function explain(
  index: HistoryIndex,
  subject: string,
  logs: ReadonlyMap<string, readonly string[]>,
): object {
  const attempt = index.attempts.find(({requestId}) => requestId === subject);
  if (attempt === undefined) {
    const lines = logs.get(subject.split(' ')[0] ?? '') ?? [];
    return {logLines: lines.slice(-LOG_TAIL_LINES)};
  }
  const attempts = index.attempts.filter(
    ({requestName}) => requestName === attempt.requestName,
  );
  const pattern = new RegExp(`${attempt.requestName}-\\d+(?!\\d)`);
  return {
    attempts: attempts.map(({response, body, ...rest}) => ({
      ...rest,
      bodyBytes: body.length,
      responseBytes: response.length,
    })),
    calls: attempts.flatMap(each => index.callsOf(each)),
    logLines: [...logs].flatMap(([name, lines]) =>
      lines.filter(line => pattern.test(line)).map(line => `${name}: ${line}`),
    ),
  };
}

/** Writes moments as milliseconds since the start of the traffic. */
function relativeTo(start: number) {
  return (key: string, value: unknown): unknown => {
    const isMoment = /(At|^at|^from|^until)$/.test(key);
    return isMoment && typeof value === 'number'
      ? Math.round(value - start)
      : value;
  };
}
