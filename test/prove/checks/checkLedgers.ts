import {LedgerIndex} from '../ledgerIndex.js';
import {Submission, Violation} from '../observations.js';
import {checkAtMostOnce} from './atMostOnce.js';
import {checkLayersOnceInOrder} from './layersOnceInOrder.js';
import {checkNotRunMeansNotRun} from './notRunMeansNotRun.js';
import {checkWholeOwnReply} from './wholeOwnReply.js';

/** Runs the checks that compare the responses to callers with the ledgers. */
export function checkLedgers(
  submissions: readonly Submission[],
  ledger: LedgerIndex,
  layerCount: number,
  requestIds: readonly string[] = ledger.requestIds,
): readonly Violation[] {
  const answered = submissions.filter(({response}) => response.status > 0);
  return [
    ...checkLayersOnceInOrder(answered, ledger, layerCount, requestIds),
    ...checkWholeOwnReply(answered, layerCount),
    ...checkNotRunMeansNotRun(submissions, ledger),
    ...checkAtMostOnce(submissions, ledger),
  ];
}
