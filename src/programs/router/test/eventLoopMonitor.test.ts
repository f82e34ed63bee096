import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {blockEventLoop} from '../../../../test/support/blockEventLoop.js';
import {sleep} from '../../../../test/support/sleep.js';
import {SystemClock} from '../../../base/node/systemClock.js';
import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {EventLoopMonitor} from '../eventLoopMonitor.js';

/** From when on a signal may have been sent, as far as the event loop can tell. */

const BLOCKED_MILLISECONDS = 600;
const SETTLED_MILLISECONDS = 250;
/** A period of the check, and what timers may be late on a busy machine. */
const TOLERANCE_MILLISECONDS = 300;

describe('the earliest moment of a signal', () => {
  let monitor: EventLoopMonitor;

  beforeEach(async () => {
    monitor = new EventLoopMonitor(new SystemClock(), new SilentLogger());
    await sleep(SETTLED_MILLISECONDS);
  });

  afterEach(() => monitor.dispose());

  it('is a moment ago while the event loop is not late', () => {
    const age = performance.now() - monitor.earliestSignalAt;
    expect(age).toBeLessThan(TOLERANCE_MILLISECONDS);
  });

  it('is before the time in which the event loop was blocked, right after it', () => {
    const blockedFrom = performance.now();
    blockEventLoop(BLOCKED_MILLISECONDS);
    expect(monitor.earliestSignalAt).toBeLessThanOrEqual(blockedFrom);
  });

  it('is after that time once the event loop has polled again', async () => {
    blockEventLoop(BLOCKED_MILLISECONDS);
    const blockedUntil = performance.now();
    await sleep(SETTLED_MILLISECONDS);
    expect(monitor.earliestSignalAt).toBeGreaterThanOrEqual(blockedUntil);
  });
});
