import {RandomSource} from '../../src/base/common/randomSource.js';
import {Work} from './observations.js';

/** Generates random work: chat completions and calls of a plain service. */

/** A call to a plain service. */
export interface ServiceCall {
  readonly service: string;
  readonly method: string;
  readonly path: string;
}

/** Name of the plain service. */
export const SERVICE = 'stock';

const SERVICE_SHARE = 0.3;
const REPEATABLE_SHARE = 0.35;
const MINIMUM_REPLY_TOKENS = 4;
const REPLY_TOKEN_RANGE = 32;
const MAXIMUM_PROMPT_WORDS = 12;

/** Returns the service call of a piece of work; only calls of `/checks` are repeatable. */
export function serviceCallOf(work: Work): ServiceCall {
  const path = work.repeatable ? '/checks' : '/bookings';
  return {service: SERVICE, method: 'POST', path};
}

/** Creates a random piece of work with a unique business key. */
export function randomWork(
  random: RandomSource,
  round: number,
  workNumber: number,
): Work {
  const businessKey = `r${round}-${workNumber}`;
  const isService = random.next() < SERVICE_SHARE;
  const repeatable = random.next() < REPEATABLE_SHARE;
  const outputTokens =
    MINIMUM_REPLY_TOKENS + random.nextInteger(REPLY_TOKEN_RANGE);
  const words = Array.from(
    {length: random.nextInteger(MAXIMUM_PROMPT_WORDS)},
    (_, index) => `word${index}`,
  );
  const prompt = [`[key:${businessKey}]`, `[reply:${outputTokens}]`, ...words];
  return {
    round,
    businessKey,
    kind: isService ? 'service' : 'model',
    repeatable,
    stream: random.next() < 0.6,
    content: isService
      ? JSON.stringify({key: businessKey, load: outputTokens})
      : prompt.join(' '),
    maximumOutputTokens: 64,
  };
}
