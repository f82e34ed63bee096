import {randomBytes} from 'node:crypto';

import {RandomSource, SeededRandomSource} from '../common/randomSource.js';

const SEED_BYTES = 4;

/** Creates a random source with a seed of its own, so that processes don't draw the same numbers. */
export function createRandomSource(): RandomSource {
  return new SeededRandomSource(randomBytes(SEED_BYTES).readUInt32LE());
}
