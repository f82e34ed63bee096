import {promptTokens} from '../../../src/features/callers/common/tokenText.js';
import {LedgerIndex} from '../ledgerIndex.js';
import {EngineStep, Submission, Violation} from '../observations.js';

/**
 * Every released token needs one epoch in which all layers ran once and in order at its position and made
 * this token; in no epoch does a layer begin twice at a position.
 */
export function checkLayersOnceInOrder(
  submissions: readonly Submission[],
  ledger: LedgerIndex,
  layerCount: number,
  /** Whose steps to look at for repetitions. */
  requestIds: readonly string[] = ledger.requestIds,
): readonly Violation[] {
  const lineages = submissions
    .filter(isRunOfItsOwn)
    .flatMap(submission => checkTokens(submission, ledger, layerCount));
  const repeats = requestIds.flatMap(requestId =>
    checkRepeats(requestId, ledger.steps(requestId)),
  );
  return [...lineages, ...repeats];
}

/** Recorded replies carry the text of an earlier request. */
function isRunOfItsOwn(submission: Submission): boolean {
  const {work, kind, answer} = submission;
  return kind === 'work' && work.kind === 'model' && answer.text !== '';
}

function checkTokens(
  submission: Submission,
  ledger: LedgerIndex,
  layerCount: number,
): readonly Violation[] {
  const {work, answer} = submission;
  const ownSteps = ledger.steps(answer.requestId ?? '');
  const steps = ownSteps.length > 0 ? ownSteps : stepsOfKey(work, ledger);
  const prompt = promptTokens([{role: 'user', content: work.content}]);
  return answer.text.split(' ').flatMap((token, index) => {
    const position = prompt.length + index;
    const passes = steps.filter(step => step.positions.to === position);
    const epochs = new Set(passes.map(step => step.epoch));
    const isMade = [...epochs].some(epoch =>
      isWholePass(
        passes.filter(step => step.epoch === epoch),
        token,
        layerCount,
      ),
    );
    const detail = `token ${index} (${token}) of ${work.businessKey}, request ${answer.requestId}, has no pass through all layers: ${JSON.stringify(passes)}`;
    const subject = work.businessKey;
    return isMade ? [] : [{point: 'layersOnceInOrder', subject, detail}];
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

function isWholePass(
  steps: readonly EngineStep[],
  token: string,
  layerCount: number,
): boolean {
  const completed = steps
    .filter(step => step.kind === 'completed')
    .sort((left, right) => left.layers.from - right.layers.from);
  let coveredTo = 0;
  let doneAt = 0;
  for (const step of completed) {
    const begun = steps.find(
      other => other.kind === 'begun' && other.layers.from === coveredTo,
    );
    const isNext = step.layers.from === coveredTo;
    if (!isNext || begun === undefined || begun.at < doneAt) {
      return false;
    }
    coveredTo = step.layers.to;
    doneAt = step.at;
  }
  return coveredTo === layerCount && completed.at(-1)?.token === token;
}

function checkRepeats(
  requestId: string,
  steps: readonly EngineStep[],
): readonly Violation[] {
  const seen = new Map<string, EngineStep>();
  const found: Violation[] = [];
  for (const step of steps.filter(({kind}) => kind === 'begun')) {
    for (const place of placesOf(step)) {
      const former = seen.get(place);
      if (former !== undefined) {
        const detail = `request ${requestId}: ${place} ran twice: ${JSON.stringify([former, step])}`;
        found.push({point: 'layersOnceInOrder', subject: requestId, detail});
      }
      seen.set(place, step);
    }
  }
  return found.slice(0, 1);
}

function placesOf(step: EngineStep): readonly string[] {
  const places: string[] = [];
  for (let at = step.positions.from; at < step.positions.to; at++) {
    for (let layer = step.layers.from; layer < step.layers.to; layer++) {
      places.push(`epoch ${step.epoch} position ${at} layer ${layer}`);
    }
  }
  return places;
}
