import {
  CancellationSource,
  CancellationToken,
} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {DisposableOwner, toDisposable} from '../../../base/common/lifecycle.js';
import {Result} from '../../../base/common/result.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {ConfigurationKeeper} from './configurationKeeper.js';
import {
  ConfigurationReading,
  ConfigurationSource,
  SourceError,
} from './configurationSource.js';

/**
 * How long one call waits for a change at most: a connection that is dead without a sign shows only
 * when the answer is overdue. Longer calls would be cheaper.
 */
const WAIT_LIMIT_MILLISECONDS = 2_000;

/**
 * Part of the time for which a confirmation counts that one call waits. Each answer confirms the
 * configuration as of its question, so two calls in a row must fit in.
 */
const WAIT_SHARE = 0.4;

/** Pause after a failed call, and the longest after many; a lost source is found again within it. */
const RETRY_MILLISECONDS = 100;
const RETRY_LIMIT_MILLISECONDS = 400;

/** Keeps the configuration in force the newest. */
export class ConfigurationFollower extends DisposableOwner {
  private readonly source = new CancellationSource();
  private position: number | undefined;
  private failures = 0;
  private hasReported = false;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly configurations: ConfigurationSource,
    private readonly keeper: ConfigurationKeeper,
  ) {
    super();
    this.register(toDisposable(() => this.source.cancel('stopped')));
  }

  /** Follows until disposed. */
  async run(): Promise<void> {
    const {token} = this.source;
    while (!token.isCancelled) {
      const asOf = this.keeper.now();
      const reading = await this.next(token);
      if (token.isCancelled) {
        return;
      }
      if (reading.ok) {
        this.accept(reading.value);
        this.keeper.confirm(asOf);
      } else {
        this.onError(reading.error);
        await this.pause();
      }
    }
  }

  private get waitMilliseconds(): number {
    const share = this.keeper.confirmationLimitMilliseconds * WAIT_SHARE;
    return Math.min(WAIT_LIMIT_MILLISECONDS, Math.round(share));
  }

  private next(
    token: CancellationToken,
  ): Promise<Result<ConfigurationReading, SourceError>> {
    return this.position === undefined
      ? this.configurations.read(token)
      : this.configurations.awaitChange(
          this.position,
          this.waitMilliseconds,
          token,
        );
  }

  private accept({configuration, position}: ConfigurationReading): void {
    this.position = position;
    this.failures = 0;
    if (this.hasReported) {
      this.hasReported = false;
      this.logger.info('configuration source regained', {position});
    }
    if (configuration !== undefined) {
      this.keeper.offer(configuration);
    }
  }

  private onError(error: SourceError): void {
    this.failures++;
    if (error.kind !== 'unavailable') {
      this.position = undefined;
    }
    if (!this.hasReported || error.kind === 'malformed') {
      this.hasReported = true;
      const age = Math.round(this.keeper.age);
      this.logger.warn('configuration source lost', {...error, age});
    }
  }

  private pause(): Promise<void> {
    const wait = Math.min(
      RETRY_MILLISECONDS * this.failures,
      RETRY_LIMIT_MILLISECONDS,
    );
    return new Promise(resolve => {
      this.clock.setTimer(wait, resolve);
    });
  }
}
