import {describe, expect, it} from 'vitest';

import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {ConfigurationKeeper} from '../common/configurationKeeper.js';
import {makeConfiguration} from './trafficConfigurations.js';

const LIMIT_MILLISECONDS = 4000;

function makeKeeper() {
  const clock = new FakeClock();
  const keeper = new ConfigurationKeeper(
    clock,
    new SilentLogger(),
    LIMIT_MILLISECONDS,
  );
  return {clock, keeper};
}

describe('the configuration in force', () => {
  it.each([
    {offered: [3, 5, 4], inForce: 5},
    {offered: [3, 3], inForce: 3},
    {offered: [7, 1, 2], inForce: 7},
  ])('after $offered is $inForce', ({offered, inForce}) => {
    const {keeper} = makeKeeper();
    for (const version of offered) {
      keeper.offer(makeConfiguration({version}));
    }
    expect(keeper.table?.configuration.version).toBe(inForce);
  });
});

describe('confirmation', () => {
  it.each([
    {name: 'is valid at first', advance: 0, shift: 0, isConfirmed: true},
    {
      name: 'is valid before the limit',
      advance: 3900,
      shift: 0,
      isConfirmed: true,
    },
    {name: 'ends at the limit', advance: 4000, shift: 0, isConfirmed: false},
    {
      name: 'ends when the instance was suspended for longer',
      advance: 10,
      shift: 5000,
      isConfirmed: false,
    },
    {
      name: 'outlasts a wall clock that was set back',
      advance: 100,
      shift: -60_000,
      isConfirmed: true,
    },
    {
      name: 'outlasts the drift of clocks',
      advance: 3000,
      shift: 200,
      isConfirmed: true,
    },
  ])('$name', ({advance, shift, isConfirmed}) => {
    const {clock, keeper} = makeKeeper();
    keeper.offer(makeConfiguration());
    keeper.confirm(keeper.now());
    clock.advance(advance);
    clock.shiftWall(shift);
    expect(keeper.isConfirmed).toBe(isConfirmed);
  });

  it('counts from before the reading, not from its answer', () => {
    const {clock, keeper} = makeKeeper();
    keeper.offer(makeConfiguration());
    const asOf = keeper.now();
    clock.advance(3000);
    keeper.confirm(asOf);
    clock.advance(1500);
    expect(keeper.isConfirmed).toBe(false);
  });

  it('is not there without a configuration', () => {
    const {keeper} = makeKeeper();
    keeper.confirm(keeper.now());
    expect(keeper.isConfirmed).toBe(false);
  });
});
