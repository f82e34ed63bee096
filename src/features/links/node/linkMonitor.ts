import {Clock} from '../../../base/common/clock.js';
import {DisposableOwner, toDisposable} from '../../../base/common/lifecycle.js';
import {
  Suspicion,
  SuspicionTracker,
} from '../../fleet/common/suspicionTracker.js';
import {Upstream} from '../../fleet/common/upstream.js';
import {UpstreamDirectory} from '../../fleet/common/upstreamDirectory.js';
import {ConnectionTester} from '../common/connectionTester.js';
import {UpstreamLinks} from '../common/upstreamLinks.js';
import {RelayClient} from './relayClient.js';

/** Period at which the links of suspected and relayed upstreams are tested again. */
const PERIOD_MILLISECONDS = 500;

/**
 * Time until an upstream that neither this instance nor a peer could connect to is tested again; doubles each time. It is
 * most likely lost, and each test costs connections at several instances.
 */
const FIRST_PAUSE_MILLISECONDS = 300;
const MAX_PAUSE_MILLISECONDS = 5_000;

/** Maximum links tested in one period, since upstreams allow a limited number of connections. */
const TESTS_PER_PERIOD = 6;

interface Pause {
  readonly milliseconds: number;
  readonly until: number;
}

/**
 * Tests the links to suspected upstreams: if a peer can connect to one that this instance can't, its own link is lost,
 * not the upstream. Relayed upstreams are tested until this instance reaches them again.
 */
export class LinkMonitor extends DisposableOwner {
  private readonly running = new Set<string>();
  /** Pauses of the addresses that nobody could connect to. */
  private readonly pauses = new Map<string, Pause>();
  private round = 0;

  constructor(
    private readonly clock: Clock,
    private readonly links: UpstreamLinks,
    private readonly relayClient: RelayClient,
    private readonly connections: ConnectionTester,
    private readonly directory: UpstreamDirectory,
    private readonly suspicions: SuspicionTracker,
  ) {
    super();
    this.register(
      suspicions.onDidSuspect(suspicion => this.testSuspected(suspicion)),
    );
    this.register(directory.onDidChange(() => this.removeUnlisted()));
    const timer = setInterval(() => this.testAgain(), PERIOD_MILLISECONDS);
    this.register(toDisposable(() => clearInterval(timer)));
  }

  /** An upstream that refuses work or was misdirected has answered, so its link is sound. */
  private testSuspected({upstream: id, reason}: Suspicion): void {
    const upstream = this.directory.find(id);
    const hasAnswered = reason === 'refusing' || reason === 'misdirected';
    if (upstream !== undefined && !hasAnswered) {
      void this.test(upstream);
    }
  }

  private testAgain(): void {
    const suspected = this.suspicions.all
      .filter(({upstream}) => this.suspicions.isLost(upstream))
      .map(({upstream}) => this.directory.find(upstream));
    const relayed = this.links.relayedAddresses.map(address =>
      this.directory.findByAddress(address),
    );
    const candidates = [...suspected, ...relayed].filter(
      upstream => upstream !== undefined && !this.isPaused(upstream.address),
    );
    this.round++;
    const first = this.round * TESTS_PER_PERIOD;
    const count = Math.min(TESTS_PER_PERIOD, candidates.length);
    for (let index = first; index < first + count; index++) {
      void this.test(candidates[index % candidates.length]!);
    }
  }

  private async test({address}: Upstream): Promise<void> {
    if (this.running.has(address) || this.isPaused(address)) {
      return;
    }
    this.running.add(address);
    try {
      const isDirect = (await this.connections.test(address)) === 'connected';
      const isRelayed = isDirect ? undefined : await this.isRelayable(address);
      this.links.recordTest(address, {isDirect, isRelayed});
      this.updatePause(address, isDirect || isRelayed === true);
    } finally {
      this.running.delete(address);
    }
  }

  /** Whether a peer connects to an address; one that is relayed already needs no further proof. */
  private async isRelayable(address: string): Promise<boolean> {
    if (this.links.relayedAddresses.includes(address)) {
      return true;
    }
    const socket = await this.relayClient.open(address);
    socket?.destroy();
    return socket !== undefined;
  }

  private isPaused(address: string): boolean {
    const until = this.pauses.get(address)?.until ?? -Infinity;
    return this.clock.monotonicMilliseconds() < until;
  }

  private updatePause(address: string, isReached: boolean): void {
    if (isReached) {
      this.pauses.delete(address);
      return;
    }
    const last = this.pauses.get(address)?.milliseconds ?? 0;
    const milliseconds = Math.min(
      Math.max(FIRST_PAUSE_MILLISECONDS, 2 * last),
      MAX_PAUSE_MILLISECONDS,
    );
    const until = this.clock.monotonicMilliseconds() + milliseconds;
    this.pauses.set(address, {milliseconds, until});
  }

  private removeUnlisted(): void {
    const isListed = (address: string): boolean =>
      this.directory.findByAddress(address) !== undefined;
    this.links.retain(isListed);
    for (const address of this.pauses.keys()) {
      if (!isListed(address)) {
        this.pauses.delete(address);
      }
    }
  }
}
