/** Decides which requests an instance still takes after it was told to stop. */

/** Allowance for an answer that takes longer than the longest recent one. */
const DURATION_ALLOWANCE = 1.25;

/** What the decision depends on; all times in milliseconds. */
export interface StopAdmissionInputs {
  /** Time until the stop ends the requests in progress. */
  readonly stopLeft: number;
  /** Time until the request ends by its own time limit. */
  readonly timeLimit: number;
  /** Longest recent answer of each service that the request may go to; undefined for a service without one. */
  readonly longestAnswers: ReadonlyArray<number | undefined>;
}

/** Whether a request can be brought to its end, and how long it may take. */
export interface StopAdmission {
  readonly isAdmitted: boolean;
  readonly expectedMilliseconds: number;
}

/**
 * A request is taken if its answer will be whole, or its time limit be over, before the stop ends it. Its caller can return
 * to another instance at once, whereas an answer that is cut off costs the caller all of it. An unknown duration counts as
 * the time limit.
 */
export function decideStopAdmission({
  stopLeft,
  timeLimit,
  longestAnswers,
}: StopAdmissionInputs): StopAdmission {
  const expected = longestAnswers.map(longest =>
    Math.min(timeLimit, (longest ?? Infinity) * DURATION_ALLOWANCE),
  );
  const expectedMilliseconds = Math.max(0, ...expected);
  return {
    isAdmitted: expectedMilliseconds <= stopLeft,
    expectedMilliseconds,
  };
}
