import {SeededRandomSource} from '../../../base/common/randomSource.js';
import {SilentMetrics} from '../../../infrastructure/metrics/common/metrics.js';
import {
  InstanceMember,
  UpstreamMember,
} from '../../../infrastructure/membership/common/membershipList.js';
import {
  FakeClock,
  runPendingCallbacks,
} from '../../../../test/support/fakeClock.js';
import {
  CellAuthority,
  FailureMessage,
  ReleaseMessage,
  ReplanRequest,
  ReserveResponse,
  ReserveRequest,
  SummaryMessage,
} from '../common/cellMessages.js';
import {DefaultCapacityBroker} from '../node/defaultCapacityBroker.js';
import {
  FakeEngines,
  FakeViews,
  RecordingLogger,
  systemView,
} from './routingFakes.js';

/** Whether an instance answers calls, refuses connections or never answers. */
export type Reachability = 'up' | 'down' | 'silent';

/** Several brokers in one process, connected by fake peers that pass messages as JSON. */
export class BrokerCluster {
  readonly clock = new FakeClock();
  readonly engines = new FakeEngines();
  readonly logger = new RecordingLogger();
  readonly reachability = new Map<string, Reachability>();
  readonly brokers = new Map<string, DefaultCapacityBroker>();
  readonly views = new Map<string, FakeViews>();
  /** Whether releases sent to peers are lost. */
  dropsReleases = false;
  private sequence = 0;

  constructor(
    private readonly instances: readonly InstanceMember[],
    upstreams: readonly UpstreamMember[],
    cellSize: number,
  ) {
    for (const upstream of upstreams) {
      this.engines.set(upstream.id);
    }
    instances.forEach((instance, index) =>
      this.start(instance, index, cellSize),
    );
    this.show(instances, upstreams);
  }

  broker(id: string): DefaultCapacityBroker {
    return this.brokers.get(id)!;
  }

  /** Sets the view of some instances, of all by default. */
  show(
    instances: readonly InstanceMember[],
    upstreams: readonly UpstreamMember[],
    to: readonly string[] = this.instances.map(instance => instance.id),
  ): void {
    this.sequence += 1;
    for (const id of to) {
      this.views.get(id)!.set(systemView(instances, upstreams, this.sequence));
    }
  }

  /** Advances time until a promise settles, by ten seconds at most. */
  async runUntilSettled<T>(promise: Promise<T>): Promise<T> {
    let isDone = false;
    void promise.finally(() => (isDone = true));
    for (let passed = 0; passed < 10000 && !isDone; passed += 10) {
      await runPendingCallbacks();
      if (!isDone) {
        await this.clock.advanceAsync(10);
      }
    }
    return promise;
  }

  dispose(): void {
    for (const broker of this.brokers.values()) {
      broker.dispose();
    }
  }

  private start(
    instance: InstanceMember,
    index: number,
    cellSize: number,
  ): void {
    const views = new FakeViews();
    this.views.set(instance.id, views);
    const broker = new DefaultCapacityBroker({
      views,
      connector: this.engines,
      clock: this.clock,
      random: new SeededRandomSource(index + 1),
      logger: this.logger,
      metrics: new SilentMetrics(),
      peerKey: 'key',
      instanceId: instance.id,
      incarnation: 'a',
      place: instance,
      cellSize,
      createPeer: address => new FakePeer(address.split(':')[0]!, this),
    });
    this.brokers.set(instance.id, broker);
  }
}

class FakePeer extends CellAuthority {
  constructor(
    private readonly id: string,
    private readonly cluster: BrokerCluster,
  ) {
    super();
  }

  override reserve(call: ReserveRequest, signal: AbortSignal) {
    return this.send<ReserveResponse>(signal, target =>
      target.reserve(cloneAsJson(call), signal),
    );
  }

  override replan(call: ReplanRequest, signal: AbortSignal) {
    return this.send<ReserveResponse>(signal, target =>
      target.replan(cloneAsJson(call), signal),
    );
  }

  override release(releases: readonly ReleaseMessage[]): void {
    if (this.isUp && !this.cluster.dropsReleases) {
      this.target.release(cloneAsJson(releases));
    }
  }

  override reportFailure(failure: FailureMessage): void {
    if (this.isUp) {
      this.target.reportFailure(cloneAsJson(failure));
    }
  }

  override summaries(model: string | undefined, signal: AbortSignal) {
    return this.send<readonly SummaryMessage[]>(signal, target =>
      target.summaries(model, signal),
    );
  }

  private get target(): CellAuthority {
    return this.cluster.broker(this.id).cells;
  }

  private get isUp(): boolean {
    return (this.cluster.reachability.get(this.id) ?? 'up') === 'up';
  }

  private async send<T>(
    signal: AbortSignal,
    call: (target: CellAuthority) => Promise<T>,
  ): Promise<T> {
    if (this.cluster.reachability.get(this.id) === 'down') {
      throw new Error('connection refused');
    }
    if (!this.isUp) {
      return new Promise((_, reject) =>
        signal.addEventListener('abort', () => reject(new Error('aborted'))),
      );
    }
    return cloneAsJson(await call(this.target));
  }
}

function cloneAsJson<T>(value: T): T {
  return JSON.parse(JSON.stringify(value)) as T;
}
