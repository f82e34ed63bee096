import {CancellationSource} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {Disposable, DisposableOwner} from '../../../base/common/lifecycle.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {EngineConnector} from '../../../infrastructure/engine/common/engineConnection.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {TrackedStage, StageRegistry} from './stageRegistry.js';

const POLL_INTERVAL_MILLISECONDS = 1000;
const UNREACHABLE_INTERVAL_MILLISECONDS = 300;
/** Largest random change of each interval, up or down, as a share of the interval. */
const POLL_JITTER = 0.2;
const TICK_MILLISECONDS = 50;
const POLL_TIMEOUT_MILLISECONDS = 1000;
const MAX_CONCURRENT_POLLS = 64;
/** A poll that takes longer than this multiple of its time-out shows that this process was paused. */
const PAUSE_RATIO = 2;

/**
 * Polls each tracked engine for its load report about once a second, with bounded concurrency. Polls a second time
 * right after the first report, because the first round trip includes the time to connect.
 */
export class ReportPoller extends DisposableOwner {
  private readonly dueAt = new Map<string, number>();
  private readonly pollsInFlight = new Map<string, Promise<void>>();
  private readonly cancellationSources = new Set<CancellationSource>();
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

  start(): void {
    this.tick();
  }

  /** Makes an engine's next poll due now, for example because a dispatcher saw it fail. */
  pollSoon(upstream: string): void {
    this.dueAt.delete(upstream);
  }

  /** Polls the engines that have no report yet at once, and waits until each poll succeeds or fails. */
  async pollUnknown(upstreams: readonly string[]): Promise<void> {
    const unknown = upstreams
      .map(id => this.registry.get(id))
      .filter(stage => stage !== undefined)
      .filter(stage => stage.ledger.report === undefined);
    await Promise.all(unknown.map(stage => this.pollOnce(stage)));
  }

  override dispose(): void {
    this.timer?.dispose();
    for (const source of this.cancellationSources) {
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
    const stages = this.registry.trackedStages;
    for (const stage of stages) {
      const isDue = (this.dueAt.get(stage.member.id) ?? 0) <= now;
      if (isDue && this.pollsInFlight.size < MAX_CONCURRENT_POLLS) {
        void this.pollOnce(stage);
      }
    }
    if (this.dueAt.size > stages.length) {
      this.removeUntracked();
    }
  }

  private removeUntracked(): void {
    for (const id of [...this.dueAt.keys()]) {
      if (this.registry.get(id) === undefined) {
        this.dueAt.delete(id);
      }
    }
  }

  private pollOnce(stage: TrackedStage): Promise<void> {
    const {id} = stage.member;
    const inFlight = this.pollsInFlight.get(id);
    if (inFlight !== undefined) {
      return inFlight;
    }
    const jitter = 1 + POLL_JITTER * (2 * this.random.next() - 1);
    const now = this.clock.monotonicMilliseconds();
    this.dueAt.set(id, now + this.intervalMillisecondsOf(id) * jitter);
    const poll = this.poll(stage, now).finally(() =>
      this.pollsInFlight.delete(id),
    );
    this.pollsInFlight.set(id, poll);
    return poll;
  }

  /** Unreachable engines are polled more often, to detect their recovery sooner. */
  private intervalMillisecondsOf(id: string): number {
    return this.registry.isUnreachable(id)
      ? UNREACHABLE_INTERVAL_MILLISECONDS
      : POLL_INTERVAL_MILLISECONDS;
  }

  private async poll(stage: TrackedStage, startedAt: number): Promise<void> {
    const {id, address} = stage.member;
    const source = new CancellationSource();
    this.cancellationSources.add(source);
    const timeout = this.clock.setTimer(POLL_TIMEOUT_MILLISECONDS, () =>
      source.cancel('timed out'),
    );
    const result = await this.connector
      .connect(id, address)
      .report(source.token);
    timeout.dispose();
    source.dispose();
    this.cancellationSources.delete(source);
    if (this.isDisposed) {
      return;
    }
    const now = this.clock.monotonicMilliseconds();
    if (result.ok) {
      if (stage.ledger.report === undefined) {
        this.pollSoon(id);
      }
      this.registry.recordReport(result.value, now - startedAt, now);
      return;
    }
    const {kind} = result.error;
    this.metrics.count('routing.report.failed', 1, {kind});
    const wasPaused = now - startedAt > PAUSE_RATIO * POLL_TIMEOUT_MILLISECONDS;
    if (kind !== 'overloaded' && !wasPaused) {
      this.registry.recordReportFailure(id, kind === 'unreachable', now);
    }
  }
}
