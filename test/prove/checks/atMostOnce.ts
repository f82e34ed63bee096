import {LedgerIndex} from '../ledgerIndex.js';
import {Submission, Violation} from '../observations.js';
import {summarize} from './notRunMeansNotRun.js';

/** Checks that non-repeatable work ran at most once under its business key, over all submissions. */
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
    const submissionsOfKey = submissions.filter(
      ({work}) => work.businessKey === key,
    );
    const detail = `${key} ran ${runs.length} times: ${JSON.stringify(runs)}; submissions: ${JSON.stringify(submissionsOfKey.map(summarize))}`;
    return runs.length > 1
      ? [{invariant: 'atMostOnce', subject: key, detail}]
      : [];
  });
}
