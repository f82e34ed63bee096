import {
  CancellationToken,
  neverCancelled,
} from '../../../base/common/cancellation.js';
import {SeededRandomSource} from '../../../base/common/randomSource.js';
import {ConfigurationOperation} from '../../../features/configuration/common/configuration.js';
import {PeerResponder} from '../../../features/peers/common/peerResponder.js';
import {SilentLogger} from '../../../infrastructure/logging/common/logger.js';
import {SilentMetrics} from '../../../infrastructure/metrics/common/metrics.js';
import {FakeClock} from '../../../../test/support/fakeClock.js';
import {InMemoryPlatform} from '../../../../test/support/inMemoryPlatform.js';
import {instanceMember} from '../../../../test/support/members.js';
import {ProposalReport} from '../proposalCoordinator.js';
import {ControlCore} from '../controlCore.js';
import {ControlTimings} from '../controlDependencies.js';
import {PeerNetwork} from './peerNetwork.js';

/** Test cluster of control cores with a shared in-memory platform and a fake clock. */

export const defaultTimings: ControlTimings = {
  headReadSeconds: 2,
  membershipReadSeconds: 2,
  membershipReadBytesPerSecond: 400,
  peerExchangeSeconds: 1,
  confirmationBoundSeconds: 10,
};

/** Creates the operation that sets a class of work. */
export function setClass(
  name: string,
  deadlineMilliseconds = 9_000,
): ConfigurationOperation {
  return {
    kind: 'setClass',
    value: {
      name,
      firstTokenMilliseconds: 500,
      betweenTokensMilliseconds: 60,
      deadlineMilliseconds,
      requestsPerSecond: 10,
      repeatable: false,
    },
  };
}

/** The control cores and the faults between them. */
export class ControlCluster extends PeerNetwork {
  readonly clock = new FakeClock();
  readonly platform = new InMemoryPlatform(this.clock);
  readonly cores = new Map<string, ControlCore>();
  private nonceCount = 0;

  constructor(
    readonly ids: readonly string[],
    private readonly seed = 1,
    private readonly timings = defaultTimings,
  ) {
    super();
    this.platform.members = ids.map(id => instanceMember(id));
  }

  /** Starts all instances and runs long enough for the first exchanges. */
  async startAll(): Promise<void> {
    this.ids.forEach(id => this.start(id));
    await this.run(5);
  }

  /** Starts an instance; replaces a running one, like a restart of the process. */
  start(id: string): ControlCore {
    this.cores.get(id)?.dispose();
    const ports = this.platform.servicesFor(id);
    const core = new ControlCore(id, this.timings, {
      ...ports,
      peers: this.connectionOf(id),
      clock: this.clock,
      random: new SeededRandomSource(this.seed * 1_000 + this.ids.indexOf(id)),
      nonce: () => `nonce-${++this.nonceCount}`,
      logger: new SilentLogger(),
      metrics: new SilentMetrics(),
    });
    this.cores.set(id, core);
    core.start();
    return core;
  }

  core(id: string): ControlCore {
    const core = this.cores.get(id);
    if (core === undefined) {
      throw new Error(`${id} was not started`);
    }
    return core;
  }

  async run(seconds: number): Promise<void> {
    await this.clock.advanceAsync(seconds * 1_000);
  }

  /** Proposes a change and advances the clock until the result is available. */
  async propose(
    id: string,
    operations: readonly ConfigurationOperation[],
    operator = 'ana',
    token: CancellationToken = neverCancelled,
  ): Promise<ProposalReport> {
    let report: ProposalReport | undefined;
    const proposing = this.core(id)
      .proposals.propose({operations}, operator, token)
      .then(answer => {
        report = answer;
      });
    for (let step = 0; step < 200 && report === undefined; step++) {
      await this.clock.advanceAsync(100);
    }
    await proposing;
    return report as unknown as ProposalReport;
  }

  /** Makes the table unavailable to one instance, or to all. */
  disconnectTable(id?: string): void {
    const scope = {
      part: 'table' as const,
      ...(id === undefined ? {} : {instance: id}),
    };
    this.platform.addFault({kind: 'down'}, scope);
  }

  /** Disconnects an instance from all peers. */
  isolate(id: string): void {
    this.groups.set(id, 1 + this.ids.indexOf(id));
  }

  override delay(): Promise<void> {
    return Promise.resolve();
  }

  override responderOf(id: string): PeerResponder | undefined {
    return this.cores.get(id)?.responder;
  }

  standing(id: string): string {
    return this.core(id).view().standing.kind;
  }

  revision(id: string): number {
    return this.core(id).view().configuration.revision;
  }

  dispose(): void {
    this.cores.forEach(core => core.dispose());
  }
}
