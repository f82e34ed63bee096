import {RandomSource} from '../../src/base/common/randomSource.js';
import {sleep} from '../../test/support/sleep.js';

/** So many requests at a time, each after a short random pause. */

/** What a round of requests came to. */
export interface RoundWork {
  readonly requests: number;
  readonly tokens: number;
}

/** Longest pause before a request; without it all requests of a round would start together. */
const PAUSE_MILLISECONDS = 100;

/** Runs requests until the time is over and the last have ended; a request answers its tokens. */
export async function runRound(
  concurrency: number,
  milliseconds: number,
  random: RandomSource,
  request: () => Promise<number>,
): Promise<RoundWork> {
  const until = performance.now() + milliseconds;
  let requests = 0;
  let tokens = 0;
  const worker = async (): Promise<void> => {
    while (performance.now() < until) {
      await sleep(random.next() * PAUSE_MILLISECONDS);
      const released = await request();
      tokens += released;
      requests++;
    }
  };
  await Promise.all(Array.from({length: concurrency}, worker));
  return {requests, tokens};
}
