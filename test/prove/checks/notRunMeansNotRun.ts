import {LedgerIndex} from '../ledgerIndex.js';
import {Submission, Violation} from '../observations.js';

/**
 * After `executed: no` nothing of this request is in any ledger. For work that may not be repeated, also no
 * run under its business key, but those of submissions that were open or came later.
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
    .filter(submission => submission.answer.executed === 'no')
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
  {work, answer}: Submission,
  ledger: LedgerIndex,
): readonly Violation[] {
  const requestId = answer.requestId ?? '';
  const ran = [...ledger.steps(requestId), ...ledger.executions(requestId)];
  const detail = `${work.businessKey}: request ${requestId} was told ${answer.errorKind}, executed: no, and ran: ${JSON.stringify(ran.slice(0, 3))}`;
  return ran.length > 0
    ? [{point: 'notRunMeansNotRun', subject: work.businessKey, detail}]
    : [];
}

function checkKey(
  submission: Submission,
  ofKey: readonly Submission[],
  ledger: LedgerIndex,
): readonly Violation[] {
  const {work, answer, endedAt} = submission;
  if (work.repeatable) {
    return [];
  }
  const laterOnes = ofKey.filter(
    other => other !== submission && other.endedAt >= endedAt,
  );
  const contradicting = ledger
    .runsOfKey(work.businessKey)
    .filter(run => !laterOnes.some(later => later.startedAt <= run.beganAt));
  const detail = `${work.businessKey}: ${submission.kind} at ${submission.address} was told ${answer.errorKind}, executed: no, at ${endedAt}, but ran: ${JSON.stringify(contradicting)}; submissions: ${JSON.stringify(ofKey.map(summary))}`;
  return contradicting.length > 0
    ? [{point: 'notRunMeansNotRun', subject: work.businessKey, detail}]
    : [];
}

/** What matters of a submission as evidence. */
export function summary(submission: Submission): object {
  const {kind, address, idempotencyKey, startedAt, endedAt} = submission;
  const {requestId, status, end, executed, errorKind} = submission.answer;
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
