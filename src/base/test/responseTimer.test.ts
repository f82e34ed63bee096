import {expect, it} from 'vitest';

import {blockEventLoop} from '../../../test/support/blockEventLoop.js';
import {sleep} from '../../../test/support/sleep.js';
import {SystemClock} from '../node/systemClock.js';

/** When the absence of a response is told. */

const LIMIT_MILLISECONDS = 100;
/** Timers and polls are this late on a busy machine. */
const TOLERANCE_MILLISECONDS = 80;

it.each([
  {name: 'at its time when the loop is on time', blocked: 0, told: 100},
  {name: 'later by as much as the loop was late', blocked: 150, told: 200},
  {name: 'after twice its time at most', blocked: 400, told: 500},
])('a missing response is told $name', async ({blocked, told}) => {
  const startedAt = performance.now();
  let toldAt = 0;
  new SystemClock().setResponseTimer(LIMIT_MILLISECONDS, () => {
    toldAt = performance.now() - startedAt;
  });
  if (blocked > 0) {
    blockEventLoop(blocked);
  }
  await sleep(told + TOLERANCE_MILLISECONDS - blocked);
  expect(toldAt).toBeGreaterThan(told - 1);
});
