import {Crash} from './crashHistory.js';
import {
  RECORDED_PARTS_PER_PROMPT,
  RECORDED_REQUESTS_PER_CRASH,
} from './crashRecord.js';
import {SuspectRequest} from './crashReport.js';

/**
 * Selects from crashes what must be recorded: the requests that are refused now. A suspect request that is let through adds nothing
 * to a record, so that after a restart no part of its prompt has more crashes than the part that explains them.
 */
export function selectRecordedCrashes(
  crashes: readonly Crash[],
  isRefused: (suspect: SuspectRequest) => boolean,
  isSuspect: (part: string) => boolean,
): readonly Crash[] {
  const refused = new Map<string, boolean>();
  const isRefusedOnce = (suspect: SuspectRequest): boolean => {
    const known = refused.get(suspect.request) ?? isRefused(suspect);
    refused.set(suspect.request, known);
    return known;
  };
  return crashes.flatMap(crash => {
    const requests = crash.requests
      .filter(isRefusedOnce)
      .slice(0, RECORDED_REQUESTS_PER_CRASH)
      .map(suspect => ({
        ...suspect,
        promptParts: selectParts(suspect.promptParts, isSuspect),
      }));
    const {upstream, at} = crash;
    return requests.length === 0 ? [] : [{upstream, at, requests}];
  });
}

/** The suspect parts of a prompt and its last part. The parts that most prompts share come first, so the later ones are kept. */
function selectParts(
  promptParts: readonly string[],
  isSuspect: (part: string) => boolean,
): readonly string[] {
  const last = promptParts.length - 1;
  return promptParts
    .filter((part, index) => index === last || isSuspect(part))
    .slice(-RECORDED_PARTS_PER_PROMPT);
}
