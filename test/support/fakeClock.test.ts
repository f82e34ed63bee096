import {expect, it} from 'vitest';

import {FakeClock} from './fakeClock.js';

it('runs timers in order of due time, including timers that callbacks set', async () => {
  const clock = new FakeClock();
  const seen: string[] = [];
  const recordAs = (name: string) => () =>
    seen.push(`${name} ${clock.monotonicMilliseconds()}`);
  clock.setTimer(20, recordAs('late'));
  clock.setTimer(10, () => clock.setTimer(5, recordAs('nested')));
  clock.setTimer(12, recordAs('stopped')).dispose();
  clock.advance(19);
  expect(seen).toEqual(['nested 15']);
  await clock.advanceAsync(1);
  clock.setTimer(1, recordAs('overdue'));
  clock.pause(50);
  expect(seen.slice(1)).toEqual(['late 20', 'overdue 70']);
  expect(clock.pendingTimerCount).toBe(0);
});
