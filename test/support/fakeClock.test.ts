import {expect, it} from 'vitest';

import {FakeClock} from './fakeClock.js';

it('runs timers in order of their time, those of callbacks included', async () => {
  const clock = new FakeClock();
  const seen: string[] = [];
  const note = (name: string) => () =>
    seen.push(`${name} ${clock.monotonicMilliseconds()}`);
  clock.setTimer(20, note('late'));
  clock.setTimer(10, () => clock.setTimer(5, note('nested')));
  clock.setTimer(12, note('stopped')).dispose();
  clock.advance(19);
  expect(seen).toEqual(['nested 15']);
  await clock.advanceAsync(1);
  clock.setTimer(1, note('overdue'));
  clock.pause(50);
  expect(seen.slice(1)).toEqual(['late 20', 'overdue 70']);
  expect(clock.pendingTimers).toBe(0);
});
