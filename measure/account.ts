import {readFileSync} from 'node:fs';

import {summarizeStreams, StreamSummaryRow} from './common/streamSummary.js';

/** The `account` command: prints why streams in a log missed their latency targets. */

/** Number of rows printed; the returned summary contains all of them. */
const PRINTED_ROW_LIMIT = 30;

/** The log to summarize and the targets of its streams. */
export interface LogSummaryOptions {
  /** Path of the file with the log lines of all instances. */
  readonly log: string;
  /** Target for the time to the first event. */
  readonly firstEventMilliseconds: number;
  /** Target for the longest pause between events. */
  readonly longestPauseMilliseconds: number;
}

function formatRow({
  outcome,
  late,
  cause,
  count,
  examples,
}: StreamSummaryRow): string {
  const lateness = late === undefined ? '' : ` (${late} too long)`;
  return `${String(count).padStart(6)}  ${outcome}${lateness}; ${cause}; ${examples.join(' ')}`;
}

/** Reads the log, prints the table and returns the whole summary. @throws when the file can't be read. */
export function summarizeLog(options: LogSummaryOptions): object {
  const texts = readFileSync(options.log, 'utf8').split('\n');
  const account = summarizeStreams(texts, options);
  console.log(`${account.inTime} of ${account.streams} streams in time`);
  account.rows
    .slice(0, PRINTED_ROW_LIMIT)
    .forEach(row => console.log(formatRow(row)));
  return account;
}
