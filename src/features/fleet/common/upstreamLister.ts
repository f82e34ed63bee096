import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {RepeatingTask} from '../../membership/common/repeatingTask.js';
import {UpstreamDirectory} from './upstreamDirectory.js';
import {UpstreamSource} from './upstreamSource.js';

/**
 * How often the list is read: an upstream that leaves must get nothing new two seconds after it said
 * so, and one reading may fail. Reading it is cheaper than following it, since every heartbeat is a
 * change.
 */
const PERIOD_MILLISECONDS = 750;

/** After a failed reading the next one comes sooner. */
const RETRY_MILLISECONDS = 250;

/** Keeps the directory of upstreams as new as the list. */
export class UpstreamLister extends DisposableOwner {
  private readonly task: RepeatingTask;
  private isLost = false;
  private lastFindings = '';

  constructor(
    clock: Clock,
    random: RandomSource,
    private readonly logger: Logger,
    private readonly source: UpstreamSource,
    private readonly directory: UpstreamDirectory,
  ) {
    super();
    this.task = this.register(
      new RepeatingTask(
        clock,
        random,
        () => (this.isLost ? RETRY_MILLISECONDS : PERIOD_MILLISECONDS),
        token => this.read(token),
      ),
    );
  }

  /** Reads now and then again and again. */
  start(): void {
    this.task.runNow();
  }

  private async read(token: CancellationToken): Promise<void> {
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
    this.reportFindings(listing.value.findings);
    this.directory.replace(listing.value.upstreams);
  }

  private noteLost(detail: string): void {
    if (!this.isLost) {
      this.isLost = true;
      const age = Math.round(this.directory.age);
      this.logger.warn('upstream list lost', {detail, age});
    }
  }

  /** The same findings at every reading are reported once. */
  private reportFindings(findings: readonly string[]): void {
    const text = findings.join('; ');
    if (text !== this.lastFindings && text !== '') {
      this.logger.warn('malformed upstream entries', {findings});
    }
    this.lastFindings = text;
  }
}
