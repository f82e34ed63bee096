import {LedgerIndex} from '../ledgerIndex.js';
import {Submission, Violation} from '../observations.js';
import {summary} from './notRunMeansNotRun.js';

/** Work that may not be repeated has at most one run under its business key, over all submissions. */
export function checkAtMostOnce(
  submissions: readonly Submission[],
  ledger: LedgerIndex,
): readonly Violation[] {
  const keys = new Set(
    submissions
      .filter(({work}) => !work.repeatable)
      .map(({work}) => work.businessKey),
  );
  return [...keys].flatMap(key => {
    const runs = ledger.runsOfKey(key);
    const own = submissions.filter(({work}) => work.businessKey === key);
    const detail = `${key} ran ${runs.length} times: ${JSON.stringify(runs)}; submissions: ${JSON.stringify(own.map(summary))}`;
    return runs.length > 1 ? [{point: 'atMostOnce', subject: key, detail}] : [];
  });
}
