import {RandomSource} from '../../src/base/common/randomSource.js';
import {sleep} from '../../test/support/sleep.js';

/** Closed-loop load: a fixed number of concurrent workers, each pausing for a short random time before a request. */

/** Totals of a closed-loop run. */
export interface RoundTotals {
  readonly requests: number;
  readonly tokens: number;
}

/** Longest pause before a request. Without pauses, all workers would send their first requests at the same time. */
const MAXIMUM_PAUSE_MILLISECONDS = 100;

/**
 * Sends requests for the given time and waits until the last ones have ended.
 *
 * @param sendRequest Sends one request and resolves to the number of tokens received.
 */
export async function runClosedLoop(
  concurrency: number,
  milliseconds: number,
  random: RandomSource,
  sendRequest: () => Promise<number>,
): Promise<RoundTotals> {
  const endAt = performance.now() + milliseconds;
  let requests = 0;
  let tokens = 0;
  const worker = async (): Promise<void> => {
    while (performance.now() < endAt) {
      await sleep(random.next() * MAXIMUM_PAUSE_MILLISECONDS);
      const tokenCount = await sendRequest();
      tokens += tokenCount;
      requests++;
    }
  };
  await Promise.all(Array.from({length: concurrency}, worker));
  return {requests, tokens};
}
