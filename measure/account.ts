import {readFileSync} from 'node:fs';

import {accountFor, AccountRow} from './common/requestAccount.js';

/** Prints why streams of a log were not served in time. */

/** Rows that are printed; the figures hold all of them. */
const PRINTED_ROWS = 30;

/** What to account for. */
export interface AccountOptions {
  /** The file with the instances' log lines. */
  readonly log: string;
  readonly firstMilliseconds: number;
  readonly pauseMilliseconds: number;
}

function format({outcome, late, cause, count, examples}: AccountRow): string {
  const lateness = late === undefined ? '' : ` (${late} too long)`;
  return `${String(count).padStart(6)}  ${outcome}${lateness}; ${cause}; ${examples.join(' ')}`;
}

/** Reads the log and prints the table. @throws where the file can't be read. */
export function accountForLog(options: AccountOptions): object {
  const texts = readFileSync(options.log, 'utf8').split('\n');
  const account = accountFor(texts, options);
  console.log(`${account.inTime} of ${account.streams} streams in time`);
  account.rows.slice(0, PRINTED_ROWS).forEach(row => console.log(format(row)));
  return account;
}
