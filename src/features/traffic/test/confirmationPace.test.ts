import {expect, it} from 'vitest';

import {Result, success} from '../../../base/common/result.js';
import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {ConfigurationFollower} from '../common/configurationFollower.js';
import {ConfigurationKeeper} from '../common/configurationKeeper.js';
import {
  ConfigurationReading,
  ConfigurationSource,
  SourceError,
} from '../common/configurationSource.js';
import {makeConfiguration} from './trafficConfigurations.js';

/** Answers each call for a change only when its wait is over. */
class QuietSource extends ConfigurationSource {
  constructor(private readonly clock: FakeClock) {
    super();
  }

  override async read(): Promise<Result<ConfigurationReading, SourceError>> {
    return success({configuration: makeConfiguration(), position: 1});
  }

  override awaitChange(
    position: number,
    waitMilliseconds: number,
  ): Promise<Result<ConfigurationReading, SourceError>> {
    return new Promise(resolve => {
      this.clock.setTimer(waitMilliseconds, () =>
        resolve(success({configuration: undefined, position})),
      );
    });
  }
}

it.each([800, 2_300, 4_300, 60_000])(
  'a source without changes keeps a configuration confirmed whose limit is %d ms',
  async limit => {
    const clock = new FakeClock();
    const logger = new SilentLogger();
    const keeper = new ConfigurationKeeper(clock, logger, limit);
    const follower = new ConfigurationFollower(
      clock,
      logger,
      new QuietSource(clock),
      keeper,
    );
    void follower.run();
    await clock.advanceAsync(10);
    let oldest = 0;
    for (let step = 0; step < 400; step++) {
      await clock.advanceAsync(25);
      oldest = Math.max(oldest, keeper.age);
    }
    follower.dispose();
    expect(oldest).toBeLessThan(limit);
  },
);
