import {
  CancellationSource,
  CancellationToken,
} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {describeError} from '../../../base/common/describeError.js';
import {Event} from '../../../base/common/event.js';
import {DisposableOwner, toDisposable} from '../../../base/common/lifecycle.js';
import {elapsedSince, Moment} from '../../../base/common/moment.js';
import {Result} from '../../../base/common/result.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {ActiveConfiguration} from './activeConfiguration.js';
import {
  ConfigurationUpdate,
  ConfigurationSource,
  ConfigurationSourceError,
} from './configurationSource.js';

/**
 * Longest time that one long poll waits for a change. A connection that was lost without a reset is only
 * detected when the response is overdue, so longer polls, although cheaper, would detect it later.
 */
const LONG_POLL_LIMIT_MILLISECONDS = 2_000;

/**
 * Longest wait of one long poll as a share of the confirmation limit. A response confirms the configuration
 * as of the start of its request, so two consecutive polls must fit within the limit.
 */
const LONG_POLL_SHARE = 0.4;

/** Step and limit of the linear back-off after failed calls. The limit bounds the delay in detecting recovery. */
const RETRY_STEP_MILLISECONDS = 100;
const RETRY_LIMIT_MILLISECONDS = 400;

/** Keeps the active configuration up to date by long-polling its source. */
export class ConfigurationFollower extends DisposableOwner {
  private readonly source = new CancellationSource();
  private position: number | undefined;
  private failureCount = 0;
  private isFailureLogged = false;
  /** Whether the source has answered again since the last update or failure. */
  private hasRecovered = false;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly configurationSource: ConfigurationSource,
    private readonly activeConfiguration: ActiveConfiguration,
    /** Fires when other calls, or peers, show that the source answers again after an outage. */
    private readonly onDidRecover: Event<void>,
  ) {
    super();
    this.register(toDisposable(() => this.source.cancel('stopped')));
  }

  /** Resolves once the follower is disposed. */
  async run(): Promise<void> {
    const {token} = this.source;
    while (!token.isCancelled) {
      await this.update(token);
    }
  }

  /** Reads one update. A recovery of the source ends the call, whose connection may be dead, and the pause after it. */
  private async update(token: CancellationToken): Promise<void> {
    const attempt = new CancellationSource(token);
    const listener = this.onDidRecover(() => {
      if (!this.hasRecovered) {
        this.hasRecovered = true;
        attempt.cancel('the source answers again');
      }
    });
    try {
      await this.readAndApply(attempt.token, token);
    } catch (error) {
      this.handleError({kind: 'malformed', ...describeError(error)});
      await this.pause(attempt.token);
    } finally {
      listener.dispose();
      attempt.dispose();
    }
  }

  private async readAndApply(
    attemptToken: CancellationToken,
    token: CancellationToken,
  ): Promise<void> {
    const requestedAt = this.activeConfiguration.now();
    const readResult = await this.readNext(attemptToken);
    if (readResult.ok && !token.isCancelled) {
      this.applyUpdate(readResult.value, requestedAt);
      this.activeConfiguration.confirm(requestedAt);
    } else if (!readResult.ok && !attemptToken.isCancelled) {
      this.handleError(readResult.error);
      await this.pause(attemptToken);
    }
  }

  /** None after a recovery, since a long poll without changes would confirm nothing until its end. */
  private get longPollMilliseconds(): number {
    if (this.hasRecovered) {
      return 0;
    }
    const limit =
      this.activeConfiguration.confirmationLimitMilliseconds * LONG_POLL_SHARE;
    return Math.min(LONG_POLL_LIMIT_MILLISECONDS, Math.round(limit));
  }

  /** After a long outage it reads the newest version alone, since awaiting changes would return each one that was missed. */
  private readNext(
    token: CancellationToken,
  ): Promise<Result<ConfigurationUpdate, ConfigurationSourceError>> {
    const {table, isConfirmed} = this.activeConfiguration;
    const isOutdated = table !== undefined && !isConfirmed;
    return this.position === undefined || isOutdated
      ? this.configurationSource.read(token)
      : this.configurationSource.awaitChange(
          this.position,
          this.longPollMilliseconds,
          token,
        );
  }

  private applyUpdate(
    {configuration, position, bytes}: ConfigurationUpdate,
    requestedAt: Moment,
  ): void {
    this.position = position;
    this.failureCount = 0;
    this.hasRecovered = false;
    if (this.isFailureLogged) {
      this.isFailureLogged = false;
      this.logger.info('configuration updates resumed', {position});
    }
    if (configuration !== undefined) {
      this.logger.decision('configurationRead', {
        version: configuration.version,
        bytes,
        milliseconds: Math.round(elapsedSince(this.clock, requestedAt)),
      });
      this.activeConfiguration.activateIfNewer(configuration);
    }
  }

  private handleError(error: ConfigurationSourceError): void {
    this.failureCount++;
    this.hasRecovered = false;
    if (error.kind !== 'unavailable') {
      this.position = undefined;
    }
    if (!this.isFailureLogged || error.kind === 'malformed') {
      this.isFailureLogged = true;
      const age = Math.round(this.activeConfiguration.age);
      this.logger.warn('configuration update failed', {...error, age});
    }
  }

  private pause(token: CancellationToken): Promise<void> {
    const delay = Math.min(
      RETRY_STEP_MILLISECONDS * this.failureCount,
      RETRY_LIMIT_MILLISECONDS,
    );
    return new Promise(resolve => {
      this.clock.setTimer(delay, resolve);
      token.onDidCancel(resolve);
    });
  }
}
