import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {currentMoment} from '../../../base/common/moment.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {RepeatingTask} from '../../membership/common/repeatingTask.js';
import {Upstream} from './upstream.js';
import {UpstreamDirectory} from './upstreamDirectory.js';
import {UpstreamFinding, UpstreamSource} from './upstreamSource.js';

/** Minimum time between two checks of the age of the list. */
const MIN_WAIT_MILLISECONDS = 50;

/** Time until the list is read again after a failure. */
const RETRY_MILLISECONDS = 250;

/** Maximum number of findings in a log line, which also contains their total count. */
const MAX_LOGGED_FINDINGS = 8;

/** Refreshes the upstream directory from the platform when its list is too old. */
export class UpstreamListRefresher extends DisposableOwner {
  private readonly task: RepeatingTask;
  private isUnreadable = false;
  private lastFindings = '';

  constructor(
    private readonly clock: Clock,
    random: RandomSource,
    private readonly logger: Logger,
    private readonly source: UpstreamSource,
    private readonly directory: UpstreamDirectory,
    /**
     * Maximum age of the list in milliseconds. Polling is cheaper than watching, since every heartbeat is a
     * change. It is cheaper still to receive the list from a peer that has just read it.
     */
    private readonly ageLimit: () => number,
  ) {
    super();
    this.task = this.register(
      new RepeatingTask(
        clock,
        random,
        () => this.waitMilliseconds,
        token => this.refreshIfStale(token),
      ),
    );
  }

  /** Starts the periodic refresh with an immediate read. */
  start(): void {
    this.task.runNow();
  }

  /** Time until the list exceeds its age limit. */
  private get waitMilliseconds(): number {
    const left = this.ageLimit() - this.directory.age;
    return left > 0
      ? Math.max(MIN_WAIT_MILLISECONDS, left)
      : RETRY_MILLISECONDS;
  }

  private async refreshIfStale(token: CancellationToken): Promise<void> {
    if (this.directory.age >= this.ageLimit()) {
      await this.refresh(token);
    }
  }

  private async refresh(token: CancellationToken): Promise<void> {
    const askedAt = currentMoment(this.clock);
    const listing = await this.source.list(token);
    if (token.isCancelled) {
      return;
    }
    if (!listing.ok) {
      this.onReadError(listing.error);
      return;
    }
    if (this.isUnreadable) {
      this.isUnreadable = false;
      this.logger.info('upstream list is readable again');
    }
    const {findings, upstreams} = listing.value;
    this.logFindings(findings);
    const kept = this.malformedAmong(findings);
    this.directory.replace([...upstreams, ...kept], askedAt);
  }

  /**
   * Known upstreams whose entry is malformed now. They are marked as leaving, so that they get no new work, but
   * stay listed, so that their running requests are not aborted.
   */
  private malformedAmong(
    findings: readonly UpstreamFinding[],
  ): readonly Upstream[] {
    const names = new Set(findings.map(({name}) => name));
    return this.directory.list
      .filter(({name}) => names.has(name))
      .map(upstream => ({...upstream, isLeaving: true}));
  }

  private onReadError(detail: string): void {
    if (!this.isUnreadable) {
      this.isUnreadable = true;
      const age = Math.round(this.directory.age);
      this.logger.warn('upstream list could not be read', {detail, age});
    }
  }

  /** Logs a bounded number of findings, and only if they differ from those of the previous read. */
  private logFindings(findings: readonly UpstreamFinding[]): void {
    const text = findings.map(({name, field}) => `${name} ${field}`).join();
    if (text !== this.lastFindings && text !== '') {
      this.logger.warn('malformed upstream entries', {
        count: findings.length,
        findings: findings.slice(0, MAX_LOGGED_FINDINGS),
      });
    }
    this.lastFindings = text;
  }
}
