import {describe, expect, it} from 'vitest';

import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {ActiveConfiguration} from '../common/activeConfiguration.js';
import {makeConfiguration} from './trafficConfigurations.js';

const LIMIT_MILLISECONDS = 4000;

function makeActiveConfiguration() {
  const clock = new FakeClock();
  const activeConfiguration = new ActiveConfiguration(
    clock,
    new SilentLogger(),
    LIMIT_MILLISECONDS,
  );
  return {clock, activeConfiguration};
}

describe('the active configuration', () => {
  it.each([
    {offered: [3, 5, 4], inForce: 5},
    {offered: [3, 3], inForce: 3},
    {offered: [7, 1, 2], inForce: 7},
  ])(
    'is version $inForce after versions $offered were offered',
    ({offered, inForce}) => {
      const {activeConfiguration} = makeActiveConfiguration();
      for (const version of offered) {
        activeConfiguration.activateIfNewer(makeConfiguration({version}));
      }
      expect(activeConfiguration.table?.configuration.version).toBe(inForce);
    },
  );
});

describe('confirmation', () => {
  it.each([
    {
      name: 'is valid immediately after it was given',
      advance: 0,
      shift: 0,
      isConfirmed: true,
    },
    {
      name: 'is valid until shortly before the limit',
      advance: 3900,
      shift: 0,
      isConfirmed: true,
    },
    {name: 'expires at the limit', advance: 4000, shift: 0, isConfirmed: false},
    {
      name: 'expires when the instance was suspended for longer than the limit',
      advance: 10,
      shift: 5000,
      isConfirmed: false,
    },
    {
      name: 'stays valid when the wall clock is set back',
      advance: 100,
      shift: -60_000,
      isConfirmed: true,
    },
    {
      name: 'stays valid when the wall clock drifts from the monotonic clock',
      advance: 3000,
      shift: 200,
      isConfirmed: true,
    },
  ])('$name', ({advance, shift, isConfirmed}) => {
    const {clock, activeConfiguration} = makeActiveConfiguration();
    activeConfiguration.activateIfNewer(makeConfiguration());
    activeConfiguration.confirm(activeConfiguration.now());
    clock.advance(advance);
    clock.shiftWallClock(shift);
    expect(activeConfiguration.isConfirmed).toBe(isConfirmed);
  });

  it('is dated from the start of the read, not from its response', () => {
    const {clock, activeConfiguration} = makeActiveConfiguration();
    activeConfiguration.activateIfNewer(makeConfiguration());
    const requestedAt = activeConfiguration.now();
    clock.advance(3000);
    activeConfiguration.confirm(requestedAt);
    clock.advance(1500);
    expect(activeConfiguration.isConfirmed).toBe(false);
  });

  it('has no effect before a configuration is active', () => {
    const {activeConfiguration} = makeActiveConfiguration();
    activeConfiguration.confirm(activeConfiguration.now());
    expect(activeConfiguration.isConfirmed).toBe(false);
  });
});
