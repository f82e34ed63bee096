import {CancellationSource} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {Disposable, DisposableOwner} from '../../../base/common/lifecycle.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {EngineConnector} from '../../../infrastructure/engine/common/engineConnection.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {FollowedStage, StageRegistry} from './stageRegistry.js';

const INTERVAL_MILLISECONDS = 1000;
const RETURN_INTERVAL_MILLISECONDS = 300;
/** Share of the interval by which each poll is put off or brought forward at random. */
const JITTER = 0.2;
const TICK_MILLISECONDS = 50;
const TIMEOUT_MILLISECONDS = 1000;
const CONCURRENT_POLLS = 64;
/** A poll that took this many times its time-out shows that this process was paused. */
const PAUSE_RATIO = 2;

/**
 * Asks each followed engine for its load report about once a second, a bounded number at once; a
 * second time after the first report, whose round trip holds the time to connect.
 */
export class ReportPoller extends DisposableOwner {
  private readonly dueAt = new Map<string, number>();
  private readonly polling = new Map<string, Promise<void>>();
  private readonly sources = new Set<CancellationSource>();
  private timer: Disposable | undefined;

  constructor(
    private readonly registry: StageRegistry,
    private readonly connector: EngineConnector,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly metrics: Metrics,
  ) {
    super();
  }

  /** Starts polling. */
  start(): void {
    this.tick();
  }

  /** Brings an engine's next poll forward to now, as when a dispatcher saw it fail. */
  hurry(upstream: string): void {
    this.dueAt.delete(upstream);
  }

  /** Polls engines of which nothing is known yet at once, and waits until they answered or failed. */
  async pollUnknown(upstreams: readonly string[]): Promise<void> {
    const unknown = upstreams
      .map(id => this.registry.get(id))
      .filter(stage => stage !== undefined)
      .filter(stage => stage.ledger.report === undefined);
    await Promise.all(unknown.map(stage => this.pollOnce(stage)));
  }

  override dispose(): void {
    this.timer?.dispose();
    for (const source of this.sources) {
      source.cancel('stopped');
    }
    super.dispose();
  }

  private tick(): void {
    if (this.isDisposed) {
      return;
    }
    const now = this.clock.monotonicMilliseconds();
    this.registry.tick(now);
    this.pollDue(now);
    this.timer = this.clock.setTimer(TICK_MILLISECONDS, () => this.tick());
  }

  private pollDue(now: number): void {
    const followed = this.registry.followed;
    for (const stage of followed) {
      const isDue = (this.dueAt.get(stage.member.id) ?? 0) <= now;
      if (isDue && this.polling.size < CONCURRENT_POLLS) {
        void this.pollOnce(stage);
      }
    }
    if (this.dueAt.size > followed.length) {
      this.forgetUnfollowed();
    }
  }

  private forgetUnfollowed(): void {
    for (const id of [...this.dueAt.keys()]) {
      if (this.registry.get(id) === undefined) {
        this.dueAt.delete(id);
      }
    }
  }

  private pollOnce(stage: FollowedStage): Promise<void> {
    const {id} = stage.member;
    const running = this.polling.get(id);
    if (running !== undefined) {
      return running;
    }
    const jitter = 1 + JITTER * (2 * this.random.next() - 1);
    const now = this.clock.monotonicMilliseconds();
    this.dueAt.set(id, now + this.intervalOf(id) * jitter);
    const poll = this.poll(stage, now).finally(() => this.polling.delete(id));
    this.polling.set(id, poll);
    return poll;
  }

  /** Engines out of reach are asked more often, so that their return is noticed soon. */
  private intervalOf(id: string): number {
    return this.registry.isOutOfReach(id)
      ? RETURN_INTERVAL_MILLISECONDS
      : INTERVAL_MILLISECONDS;
  }

  private async poll(stage: FollowedStage, startedAt: number): Promise<void> {
    const {id, address} = stage.member;
    const source = new CancellationSource();
    this.sources.add(source);
    const timeout = this.clock.setTimer(TIMEOUT_MILLISECONDS, () =>
      source.cancel('timed out'),
    );
    const answer = await this.connector
      .connect(id, address)
      .report(source.token);
    timeout.dispose();
    source.dispose();
    this.sources.delete(source);
    if (this.isDisposed) {
      return;
    }
    const now = this.clock.monotonicMilliseconds();
    if (answer.ok) {
      if (stage.ledger.report === undefined) {
        this.hurry(id);
      }
      this.registry.reportCame(answer.value, now - startedAt, now);
      return;
    }
    const {kind} = answer.error;
    this.metrics.count('routing.report.failed', 1, {kind});
    const wasPaused = now - startedAt > PAUSE_RATIO * TIMEOUT_MILLISECONDS;
    if (kind !== 'overloaded' && !wasPaused) {
      this.registry.reportFailed(id, kind === 'unreachable', now);
    }
  }
}
