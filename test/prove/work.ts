import {RandomSource} from '../../src/base/common/randomSource.js';
import {Work} from './observations.js';

/** The work that rounds make. */

/** A call to a plain service. */
export interface ServiceCall {
  readonly service: string;
  readonly method: string;
  readonly path: string;
}

/** The service that rounds call. */
export const SERVICE = 'stock';

const SERVICE_SHARE = 0.3;
const REPEATABLE_SHARE = 0.35;
const SHORTEST_REPLY = 4;
const REPLY_SPREAD = 32;
const LONGEST_PROMPT_WORDS = 12;

/** The call that does a piece of work; only `/checks` may be repeated. */
export function serviceCallOf(work: Work): ServiceCall {
  const path = work.repeatable ? '/checks' : '/bookings';
  return {service: SERVICE, method: 'POST', path};
}

/** A random piece of work. */
export function randomWork(
  random: RandomSource,
  round: number,
  number: number,
): Work {
  const businessKey = `r${round}-${number}`;
  const isService = random.next() < SERVICE_SHARE;
  const repeatable = random.next() < REPEATABLE_SHARE;
  const outputTokens = SHORTEST_REPLY + random.nextInteger(REPLY_SPREAD);
  const words = Array.from(
    {length: random.nextInteger(LONGEST_PROMPT_WORDS)},
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
