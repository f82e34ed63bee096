import {LedgerIndex} from '../ledgerIndex.js';
import {Submission, Violation} from '../observations.js';

/**
 * Checks that a request with the response `executed: no` is in no ledger. For non-repeatable work, also checks
 * that there is no run under its business key, except runs of submissions that were still open or came later.
 */
export function checkNotRunMeansNotRun(
  submissions: readonly Submission[],
  ledger: LedgerIndex,
): readonly Violation[] {
  const byKey = new Map<string, Submission[]>();
  for (const submission of submissions) {
    const {businessKey} = submission.work;
    byKey.set(businessKey, [...(byKey.get(businessKey) ?? []), submission]);
  }
  return submissions
    .filter(submission => submission.response.executed === 'no')
    .flatMap(submission => [
      ...checkRequest(submission, ledger),
      ...checkKey(
        submission,
        byKey.get(submission.work.businessKey) ?? [],
        ledger,
      ),
    ]);
}

function checkRequest(
  {work, response}: Submission,
  ledger: LedgerIndex,
): readonly Violation[] {
  const requestId = response.requestId ?? '';
  const ran = [...ledger.steps(requestId), ...ledger.executions(requestId)];
  const detail = `${work.businessKey}: request ${requestId} got ${response.errorKind}, executed: no, but ran: ${JSON.stringify(ran.slice(0, 3))}`;
  return ran.length > 0
    ? [{invariant: 'notRunMeansNotRun', subject: work.businessKey, detail}]
    : [];
}

function checkKey(
  submission: Submission,
  submissionsOfKey: readonly Submission[],
  ledger: LedgerIndex,
): readonly Violation[] {
  const {work, response, endedAt} = submission;
  if (work.repeatable) {
    return [];
  }
  const openOrLater = submissionsOfKey.filter(
    other => other !== submission && other.endedAt >= endedAt,
  );
  const contradictingRuns = ledger
    .runsOfKey(work.businessKey)
    .filter(run => !openOrLater.some(later => later.startedAt <= run.beganAt));
  const detail = `${work.businessKey}: ${submission.kind} at ${submission.address} got ${response.errorKind}, executed: no, at ${endedAt}, but ran: ${JSON.stringify(contradictingRuns)}; submissions: ${JSON.stringify(submissionsOfKey.map(summarize))}`;
  return contradictingRuns.length > 0
    ? [{invariant: 'notRunMeansNotRun', subject: work.businessKey, detail}]
    : [];
}

/** Returns the fields of a submission that are shown with a violation. */
export function summarize(submission: Submission): object {
  const {kind, address, idempotencyKey, startedAt, endedAt} = submission;
  const {requestId, status, end, executed, errorKind} = submission.response;
  const key = idempotencyKey?.slice(0, 12);
  const times = {startedAt, endedAt};
  return {
    kind,
    address,
    key,
    ...times,
    requestId,
    status,
    end,
    executed,
    errorKind,
  };
}
