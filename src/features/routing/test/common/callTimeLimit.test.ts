import {expect, it} from 'vitest';

import {FakeClock} from '../../../../../test/support/fakeClock.js';
import {limitCallTime} from '../../common/callTimeLimit.js';

const LIMIT_MILLISECONDS = 100;

/** Guards against giving up on an owner that answered, because this process itself was held up. */
it.each([
  {
    name: 'ends at its limit while the process runs',
    pauses: [],
    endsAfter: 100,
  },
  {
    name: 'does not count a time in which the process did not run',
    pauses: [240],
    endsAfter: 330,
  },
  {
    name: 'ends at a multiple of its limit in a process that hardly runs',
    pauses: [150, 150, 150, 150],
    endsAfter: 600,
  },
])('a call $name', ({pauses, endsAfter}) => {
  const clock = new FakeClock();
  let exceededAt: number | undefined;
  limitCallTime(clock, LIMIT_MILLISECONDS, () => {
    exceededAt = clock.monotonicMilliseconds();
  });
  pauses.forEach(milliseconds => clock.pause(milliseconds));
  clock.advance(1000);
  expect(exceededAt).toBe(endsAfter);
});

it('a call that was answered does not end later', () => {
  const clock = new FakeClock();
  let isExceeded = false;
  const limit = limitCallTime(clock, LIMIT_MILLISECONDS, () => {
    isExceeded = true;
  });
  clock.advance(50);
  limit.dispose();
  clock.advance(1000);
  expect(isExceeded).toBe(false);
});
