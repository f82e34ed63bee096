import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {momentOf} from '../../../base/common/moment.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {RepeatingTask} from '../../membership/common/repeatingTask.js';
import {Upstream} from './upstream.js';
import {UpstreamDirectory} from './upstreamDirectory.js';
import {UpstreamFinding, UpstreamSource} from './upstreamSource.js';

/** The list is not looked at more often, however old it is. */
const LEAST_WAIT_MILLISECONDS = 50;

/** After a failed reading the next one comes sooner. */
const RETRY_MILLISECONDS = 250;

/** Findings written out in one log line; the line says how many there were. */
const REPORTED_FINDINGS = 8;

/** Keeps the directory of upstreams as new as the list. */
export class UpstreamLister extends DisposableOwner {
  private readonly task: RepeatingTask;
  private isLost = false;
  private lastFindings = '';

  constructor(
    private readonly clock: Clock,
    random: RandomSource,
    private readonly logger: Logger,
    private readonly source: UpstreamSource,
    private readonly directory: UpstreamDirectory,
    /**
     * Milliseconds that the list may be old. Reading it is cheaper than following it, since every heartbeat
     * is a change; hearing of it from a peer that has just read it is cheaper still.
     */
    private readonly ageLimit: () => number,
  ) {
    super();
    this.task = this.register(
      new RepeatingTask(
        clock,
        random,
        () => this.waitMilliseconds,
        token => this.look(token),
      ),
    );
  }

  /** Reads now and then again and again. */
  start(): void {
    this.task.runNow();
  }

  /** Until the list is too old, by what is known of it now. */
  private get waitMilliseconds(): number {
    const left = this.ageLimit() - this.directory.age;
    return left > 0
      ? Math.max(LEAST_WAIT_MILLISECONDS, left)
      : RETRY_MILLISECONDS;
  }

  private async look(token: CancellationToken): Promise<void> {
    if (this.directory.age >= this.ageLimit()) {
      await this.read(token);
    }
  }

  private async read(token: CancellationToken): Promise<void> {
    const askedAt = momentOf(this.clock);
    const listing = await this.source.list(token);
    if (token.isCancelled) {
      return;
    }
    if (!listing.ok) {
      this.noteLost(listing.error);
      return;
    }
    if (this.isLost) {
      this.isLost = false;
      this.logger.info('upstream list regained');
    }
    const {findings, upstreams} = listing.value;
    this.reportFindings(findings);
    const kept = this.unreadableAmong(findings);
    this.directory.replace([...upstreams, ...kept], askedAt);
  }

  /**
   * Upstreams whose entry can't be read now. They get nothing new, like leaving ones; but nothing says that they
   * have left, so what they run is not given up.
   */
  private unreadableAmong(
    findings: readonly UpstreamFinding[],
  ): readonly Upstream[] {
    const names = new Set(findings.map(({name}) => name));
    return this.directory.list
      .filter(({name}) => names.has(name))
      .map(upstream => ({...upstream, isLeaving: true}));
  }

  private noteLost(detail: string): void {
    if (!this.isLost) {
      this.isLost = true;
      const age = Math.round(this.directory.age);
      this.logger.warn('upstream list lost', {detail, age});
    }
  }

  /** The same findings at every reading are reported once, and no more of them than help. */
  private reportFindings(findings: readonly UpstreamFinding[]): void {
    const text = findings.map(({name, field}) => `${name} ${field}`).join();
    if (text !== this.lastFindings && text !== '') {
      this.logger.warn('malformed upstream entries', {
        count: findings.length,
        findings: findings.slice(0, REPORTED_FINDINGS),
      });
    }
    this.lastFindings = text;
  }
}
