import {promptTokens} from '../../../src/features/callers/common/tokenText.js';
import {LedgerIndex} from '../ledgerIndex.js';
import {EngineStep, Submission, Violation} from '../observations.js';

/**
 * Checks that for each released token, in one epoch, all layers ran once and in order at its position and
 * produced this token, and that no layer begins twice at a position within an epoch.
 */
export function checkLayersOnceInOrder(
  submissions: readonly Submission[],
  ledger: LedgerIndex,
  layerCount: number,
  /** The requests to check for repeated steps. */
  requestIds: readonly string[] = ledger.requestIds,
): readonly Violation[] {
  const incompleteTokens = submissions
    .filter(hasModelReply)
    .flatMap(submission => checkTokens(submission, ledger, layerCount));
  const repetitions = requestIds.flatMap(requestId =>
    checkRepetitions(requestId, ledger.steps(requestId)),
  );
  return [...incompleteTokens, ...repetitions];
}

function hasModelReply(submission: Submission): boolean {
  const {work, kind, response} = submission;
  return kind === 'work' && work.kind === 'model' && response.text !== '';
}

function checkTokens(
  submission: Submission,
  ledger: LedgerIndex,
  layerCount: number,
): readonly Violation[] {
  const {work, response} = submission;
  // A replayed reply has no steps under its own request id; those of its business key produced the tokens.
  const ownSteps = ledger.steps(response.requestId ?? '');
  const steps = ownSteps.length > 0 ? ownSteps : stepsOfKey(work, ledger);
  const prompt = promptTokens([{role: 'user', content: work.content}]);
  return response.text.split(' ').flatMap((token, index) => {
    const position = prompt.length + index;
    const stepsAtPosition = steps.filter(
      step => step.positions.to === position,
    );
    const epochs = new Set(stepsAtPosition.map(step => step.epoch));
    const isComputed = [...epochs].some(epoch =>
      isCompletePass(
        stepsAtPosition.filter(step => step.epoch === epoch),
        token,
        layerCount,
      ),
    );
    const detail = `token ${index} (${token}) of ${work.businessKey}, request ${response.requestId}, has no pass through all layers: ${JSON.stringify(stepsAtPosition)}`;
    const subject = work.businessKey;
    return isComputed
      ? []
      : [{invariant: 'layersOnceInOrder', subject, detail}];
  });
}

function stepsOfKey(
  work: Submission['work'],
  ledger: LedgerIndex,
): readonly EngineStep[] {
  return ledger
    .runsOfKey(work.businessKey)
    .flatMap(run => ledger.steps(run.requestId));
}

function isCompletePass(
  steps: readonly EngineStep[],
  token: string,
  layerCount: number,
): boolean {
  const completed = steps
    .filter(step => step.kind === 'completed')
    .sort((left, right) => left.layers.from - right.layers.from);
  let coveredTo = 0;
  let completedAt = 0;
  for (const step of completed) {
    const begun = steps.find(
      other => other.kind === 'begun' && other.layers.from === coveredTo,
    );
    const isNext = step.layers.from === coveredTo;
    if (!isNext || begun === undefined || begun.at < completedAt) {
      return false;
    }
    coveredTo = step.layers.to;
    completedAt = step.at;
  }
  return coveredTo === layerCount && completed.at(-1)?.token === token;
}

function checkRepetitions(
  requestId: string,
  steps: readonly EngineStep[],
): readonly Violation[] {
  const seen = new Map<string, EngineStep>();
  const violations: Violation[] = [];
  for (const step of steps.filter(({kind}) => kind === 'begun')) {
    for (const computation of computationsOf(step)) {
      const previous = seen.get(computation);
      if (previous !== undefined) {
        const detail = `request ${requestId}: ${computation} ran twice: ${JSON.stringify([previous, step])}`;
        violations.push({
          invariant: 'layersOnceInOrder',
          subject: requestId,
          detail,
        });
      }
      seen.set(computation, step);
    }
  }
  return violations.slice(0, 1);
}

function computationsOf(step: EngineStep): readonly string[] {
  const computations: string[] = [];
  for (let at = step.positions.from; at < step.positions.to; at++) {
    for (let layer = step.layers.from; layer < step.layers.to; layer++) {
      computations.push(`epoch ${step.epoch} position ${at} layer ${layer}`);
    }
  }
  return computations;
}
