import {SeededRandomSource} from '../../../base/common/randomSource.js';
import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {
  GossipScenario,
  STEP_MILLISECONDS,
} from '../../../../test/support/gossipSimulation.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {UpstreamLimitTracker} from '../../fleet/common/upstreamLimitTracker.js';
import {UpstreamRateLimiter} from '../../fleet/common/upstreamRateLimiter.js';
import {makeUpstream} from '../../fleet/test/upstreams.js';
import {TableInstance, TableSimulation} from './tableSimulation.js';

/** Plays many instances that share one limited upstream and gossip about it, on one simulated clock. */

/**
 * The published bound on what an upstream that names a limit may get: from some time after it first named the limit,
 * requests of instances that were told of it some time before.
 */
const NOTICE_MILLISECONDS = 3_000;
const TOLD_MILLISECONDS = 500;
const WINDOW_MILLISECONDS = 4_000;

/** One played situation. */
export interface LimitScenario extends GossipScenario<LimitSimulation> {
  readonly instanceCount: number;
  readonly requestsPerSecond: number;
  /** Requests a second that each instance would send to the upstream. */
  readonly demandOf: (index: number) => number;
  readonly answerMilliseconds: number;
}

class LimitedInstance extends TableInstance {
  limits!: UpstreamLimitTracker;
  limiter!: UpstreamRateLimiter;
  /** Whether answers of the upstream reach it. */
  isAnswered = true;
  /** When this run first got an answer that named the limit. */
  toldAt = Infinity;

  override start(): void {
    super.start();
    const {clock, table} = this;
    this.limits = new UpstreamLimitTracker(clock, new SilentLogger());
    this.limiter = new UpstreamRateLimiter(
      clock,
      new SeededRandomSource(this.index),
      this.limits,
      () => table.limitSharers,
    );
    this.toldAt = Infinity;
  }
}

/** The instances, the upstream, which names its limit from the beginning, and what reached it. */
export class LimitSimulation extends TableSimulation<LimitedInstance> {
  /** Arrivals from instances that were told of the limit, in simulated milliseconds. */
  readonly arrivedAt: number[] = [];
  private firstNamedAt = Infinity;
  private readonly upstream: Upstream = makeUpstream({
    id: 'limited',
    dataCentre: 'south',
  });

  constructor(
    protected override readonly scenario: LimitScenario,
    random: SeededRandomSource,
  ) {
    const create = (index: number, clock: FakeClock): LimitedInstance =>
      new LimitedInstance(index, clock);
    super(random, scenario.instanceCount, create);
  }

  /** The most requests in any window that counts. */
  get mostInWindow(): number {
    const {counted} = this;
    const counts = counted.map(
      start =>
        counted.filter(at => at >= start && at < start + WINDOW_MILLISECONDS)
          .length,
    );
    return Math.max(0, ...counts);
  }

  /** Requests a second after the notice. */
  get rate(): number {
    const end = this.clock.monotonicMilliseconds();
    const seconds = (end - this.firstNamedAt - NOTICE_MILLISECONDS) / 1_000;
    return this.counted.length / seconds;
  }

  private get counted(): readonly number[] {
    const from = this.firstNamedAt + NOTICE_MILLISECONDS;
    return this.arrivedAt.filter(at => at >= from);
  }

  /** Stops an instance as planned: its peers learn of it at once. */
  stop(index: number): void {
    const instance = this.instances[index]!;
    instance.table.state = 'stopping';
    this.instances
      .filter(other => other !== instance)
      .forEach(other => this.contact(instance, other));
    instance.isRunning = false;
  }

  protected override exchange(
    one: LimitedInstance,
    other: LimitedInstance,
  ): void {
    super.exchange(one, other);
    const readings = one.limits.readings;
    other.limits.readings.forEach(reading =>
      one.limits.recordFromPeer(reading),
    );
    readings.forEach(reading => other.limits.recordFromPeer(reading));
  }

  protected override sendRequests(): void {
    for (const instance of this.instances) {
      const expected =
        (this.scenario.demandOf(instance.index) * STEP_MILLISECONDS) / 1_000;
      if (
        instance.isRunning &&
        this.random.next() < expected &&
        instance.limiter.canSend(this.upstream)
      ) {
        this.sendRequest(instance);
      }
    }
  }

  private sendRequest(instance: LimitedInstance): void {
    const {clock, scenario, upstream} = this;
    const sentAt = clock.monotonicMilliseconds();
    const {startedAt} = instance;
    if (sentAt >= instance.toldAt + TOLD_MILLISECONDS) {
      this.arrivedAt.push(sentAt);
    }
    instance.limiter.recordSend(upstream);
    clock.setTimer(scenario.answerMilliseconds, () => {
      const now = clock.monotonicMilliseconds();
      this.firstNamedAt = Math.min(this.firstNamedAt, now);
      const isSameRun = instance.isRunning && instance.startedAt === startedAt;
      if (isSameRun && instance.isAnswered) {
        const {requestsPerSecond} = scenario;
        instance.toldAt = Math.min(instance.toldAt, now);
        instance.limits.recordOwn(upstream.id, requestsPerSecond, sentAt);
      }
    });
  }
}
