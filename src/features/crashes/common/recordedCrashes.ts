import {Crash} from './crashHistory.js';
import {
  RECORDED_PARTS_PER_PROMPT,
  RECORDED_REQUESTS_PER_CRASH,
} from './crashRecord.js';
import {SuspectRequest} from './crashReport.js';

/** Requests of one crash that are judged: those with the most crashes under their parts, as the refused ones have. */
const JUDGED_REQUESTS_PER_CRASH = 8;

/**
 * Selects from crashes what must be recorded: the requests that are refused now. A suspect request that is let through adds nothing
 * to a record, so that after a restart no part of its prompt has more crashes than the part that explains them.
 * @param crashesUnder number of crashes that make a part suspect; 0 for a part that isn't
 */
export function selectRecordedCrashes(
  crashes: readonly Crash[],
  isRefused: (suspect: SuspectRequest) => boolean,
  crashesUnder: (part: string) => number,
): readonly Crash[] {
  const refused = new Map<string, boolean>();
  const isRefusedOnce = (suspect: SuspectRequest): boolean => {
    const known = refused.get(suspect.request) ?? isRefused(suspect);
    refused.set(suspect.request, known);
    return known;
  };
  return crashes.flatMap(crash => {
    const requests = likeliestRequests(crash, crashesUnder)
      .filter(isRefusedOnce)
      .slice(0, RECORDED_REQUESTS_PER_CRASH)
      .map(suspect => ({
        ...suspect,
        promptParts: selectParts(suspect.promptParts, crashesUnder),
      }));
    const {upstream, at} = crash;
    return requests.length === 0 ? [] : [{upstream, at, requests}];
  });
}

function likeliestRequests(
  {requests}: Crash,
  crashesUnder: (part: string) => number,
): readonly SuspectRequest[] {
  const weighted = requests.map(suspect => ({
    suspect,
    weight: suspect.promptParts.reduce(
      (sum, part) => sum + crashesUnder(part),
      0,
    ),
  }));
  return weighted
    .filter(({weight}) => weight > 0)
    .sort((left, right) => right.weight - left.weight)
    .slice(0, JUDGED_REQUESTS_PER_CRASH)
    .map(({suspect}) => suspect);
}

/** The suspect parts of a prompt and its last part. The parts that most prompts share come first, so the later ones are kept. */
function selectParts(
  promptParts: readonly string[],
  crashesUnder: (part: string) => number,
): readonly string[] {
  const last = promptParts.length - 1;
  return promptParts
    .filter((part, index) => index === last || crashesUnder(part) > 0)
    .slice(-RECORDED_PARTS_PER_PROMPT);
}
