import {
  CancellationToken,
  neverCancelled,
} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {MemoryBudget} from '../../../base/common/memoryBudget.js';
import {currentMoment} from '../../../base/common/moment.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {RpcClientFactory} from '../../../infrastructure/rpc/node/rpc.js';
import {CrashRecordKeeper} from '../../crashes/common/crashRecordKeeper.js';
import {PromptGuard} from '../../crashes/common/promptGuard.js';
import {RequestLosses} from '../../crashes/common/requestLosses.js';
import {UpstreamLimitTracker} from '../../fleet/common/upstreamLimitTracker.js';
import {UpstreamRests} from '../../fleet/common/upstreamRests.js';
import {SlownessTracker} from '../../fleet/common/slownessTracker.js';
import {SuspicionTracker} from '../../fleet/common/suspicionTracker.js';
import {UpstreamDirectory} from '../../fleet/common/upstreamDirectory.js';
import {UpstreamLoadTracker} from '../../fleet/common/upstreamLoadTracker.js';
import {UpstreamProber} from '../../forwarding/node/upstreamProber.js';
import {Mechanisms} from '../../mechanisms/common/mechanisms.js';
import {RepeatingTask} from '../../membership/common/repeatingTask.js';
import {TableLease} from '../../placement/common/tableLease.js';
import {
  HeartbeatExchange,
  HeartbeatMessage,
} from '../common/heartbeatExchange.js';
import {InstanceRecord} from '../common/instance.js';
import {InstanceRegistry} from '../common/instanceRegistry.js';
import {InstanceTable} from '../common/instanceTable.js';
import {UpstreamListExchange} from '../common/upstreamListExchange.js';
import {
  GossipMessage,
  gossipMessageSchema,
  MESSAGE_LIST_LIMIT,
} from '../common/gossipMessage.js';
import {GossipRouter} from './gossipRouter.js';

/** Period of gossip rounds. */
const ROUND_PERIOD_MILLISECONDS = 400;

/** Peers contacted in one round. With more instances, a message takes more rounds to reach all of them. */
const PEERS_PER_ROUND = 4;

/** Timeout of one exchange; the latency between data centres is about a millisecond. */
const EXCHANGE_TIMEOUT_MILLISECONDS = 300;

/** Rounds between two reads of the instance registry; gossip usually announces new instances sooner. */
const ROUNDS_PER_REGISTRY_READ = 40;

/**
 * Time without a message of the lease holder after which the lease row is read again. The holder contacts each
 * peer about twice a second.
 */
const LEASE_HOLDER_TIMEOUT_MILLISECONDS = 1_000;

/** State that is sent to peers or updated from their messages. */
export interface GossipDependencies {
  readonly instances: InstanceTable;
  readonly registry: InstanceRegistry;
  readonly directory: UpstreamDirectory;
  readonly load: UpstreamLoadTracker;
  readonly slowness: SlownessTracker;
  readonly limits: UpstreamLimitTracker;
  readonly rests: UpstreamRests;
  readonly suspicions: SuspicionTracker;
  readonly prober: UpstreamProber;
  readonly promptGuard: PromptGuard;
  readonly crashRecordKeeper: CrashRecordKeeper;
  readonly requestLosses: RequestLosses;
  readonly lease: TableLease;
  readonly mechanisms: Mechanisms;
  /** Names of the peers that relayed requests to an upstream lately. */
  readonly relaysOf: (upstream: string) => readonly string[];
}

/** Exchanges state with peers by gossip. */
export class PeerGossip extends DisposableOwner {
  private readonly task: RepeatingTask;
  private readonly connections: RpcClientFactory;
  private readonly listExchange: UpstreamListExchange;
  private readonly heartbeatExchange: HeartbeatExchange;
  private round = 0;
  private holderReportedAt = -Infinity;
  /** Name of the peer that last reported that it holds the lease. */
  private holder = '';
  private isRegistered = false;
  /** Start of the last run of each peer that was answered. */
  private readonly answeredRuns = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly logger: Logger,
    private readonly own: InstanceRecord,
    peerKey: string,
    private readonly dependencies: GossipDependencies,
    memory: MemoryBudget,
  ) {
    super();
    this.listExchange = new UpstreamListExchange(dependencies.directory);
    this.heartbeatExchange = new HeartbeatExchange(
      clock,
      dependencies.instances,
      own.name,
      MESSAGE_LIST_LIMIT,
    );
    this.connections = this.register(new RpcClientFactory(peerKey, memory));
    this.task = this.register(
      new RepeatingTask(
        clock,
        random,
        () => ROUND_PERIOD_MILLISECONDS,
        token => this.runRound(token),
      ),
    );
    this.register(
      dependencies.suspicions.onDidSuspect(({reason}) => {
        if (reason !== 'toldByPeer') {
          this.task.runNow();
        }
      }),
    );
    this.register(dependencies.rests.onDidRestRelay(id => this.tellRelays(id)));
    this.register(dependencies.rests.onDidFlood(() => this.task.runNow()));
  }

  /** Starts the gossip rounds; the first one runs at once. */
  start(): void {
    this.task.runNow();
  }

  /** Exchanges messages with all peers at once, for changes that must not wait for the next rounds. */
  async exchangeWithAll(token: CancellationToken): Promise<void> {
    const peers = this.dependencies.instances.peers;
    await Promise.all(peers.map(peer => this.exchangeWith(peer, token)));
  }

  /** Whether a peer has recently reported that it holds the lease of the layer controller. */
  get isLeaseHolderLive(): boolean {
    const now = this.clock.monotonicMilliseconds();
    return now - this.holderReportedAt < LEASE_HOLDER_TIMEOUT_MILLISECONDS;
  }

  /** Processes the message of a peer and returns the response. */
  answer(request: GossipMessage): GossipMessage {
    this.applyMessage(request);
    const {crashRecordKeeper, requestLosses} = this.dependencies;
    return {
      ...this.composeMessage(this.heartbeatExchange.createResponse(request)),
      ...(this.isFirstRequestOfRun(request) && {
        requestLosses: requestLosses.createNewsForStarted(),
      }),
      ...this.dependencies.promptGuard.createResponse(request),
      crashRecord: crashRecordKeeper.createResponse(request.crashRecord),
      list: this.listExchange.createResponse(request.list),
    };
  }

  /** Whether the run of the sender has not been answered before; it may have just started then. */
  private isFirstRequestOfRun({from, instances}: GossipMessage): boolean {
    const sender = instances.find(({record}) => record.name === from);
    const startedAt = sender?.record.startedAt;
    const isFirst = this.answeredRuns.get(from) !== startedAt;
    if (startedAt !== undefined) {
      this.answeredRuns.set(from, startedAt);
    }
    return isFirst;
  }

  /** Tells the peers that relayed requests to an upstream what it asked of them; they can't read what they relay. */
  private tellRelays(upstream: string): void {
    const {instances, relaysOf} = this.dependencies;
    const names = relaysOf(upstream);
    for (const peer of instances.peers) {
      if (names.includes(peer.name)) {
        void this.exchangeWith(peer, neverCancelled);
      }
    }
  }

  private async runRound(token: CancellationToken): Promise<void> {
    const isRegistryReadDue = this.round % ROUNDS_PER_REGISTRY_READ === 0;
    this.round++;
    if (isRegistryReadDue || !this.isRegistered) {
      await this.syncWithRegistry(token);
    }
    const peers = this.choosePeers(this.dependencies.instances.peers);
    await Promise.all(peers.map(peer => this.exchangeWith(peer, token)));
  }

  private async syncWithRegistry(token: CancellationToken): Promise<void> {
    const {registry, instances} = this.dependencies;
    this.isRegistered ||= await registry.announce(this.own, token);
    const records = await registry.list(token);
    records?.forEach(record => instances.addRecord(record));
  }

  private choosePeers(
    peers: readonly InstanceRecord[],
  ): readonly InstanceRecord[] {
    // The reader of this instance's list of upstreams is contacted in every round.
    const {listReader} = this.dependencies.instances;
    const candidates = peers.filter(({name}) => name !== listReader);
    const chosenPeers = peers.filter(({name}) => name === listReader);
    while (candidates.length > 0 && chosenPeers.length < PEERS_PER_ROUND) {
      chosenPeers.push(
        ...candidates.splice(this.random.nextInteger(candidates.length), 1),
      );
    }
    return chosenPeers;
  }

  private async exchangeWith(
    peer: InstanceRecord,
    token: CancellationToken,
  ): Promise<void> {
    const abortController = new AbortController();
    const timer = this.clock.setResponseTimer(
      EXCHANGE_TIMEOUT_MILLISECONDS,
      () => abortController.abort(),
    );
    const cancellationListener = token.onDidCancel(() =>
      abortController.abort(),
    );
    const requestedAt = currentMoment(this.clock);
    try {
      const client = this.connections.clientFor<GossipRouter>(peer.peerAddress);
      const message = this.composeMessage(
        this.heartbeatExchange.createRequest(peer.name),
      );
      const body = await client.news.exchange.mutate(message, {
        signal: abortController.signal,
      });
      const response = gossipMessageSchema.parse(body);
      this.applyMessage(response);
      this.recordRun(response, requestedAt.monotonic);
      this.listExchange.applyResponse(response.list, requestedAt);
    } catch (error) {
      // `InstanceTable` logs the first failure only.
      this.dependencies.instances.markUnreachable(
        peer.name,
        isConnectionRefused(error),
      );
    } finally {
      timer.dispose();
      cancellationListener.dispose();
    }
  }

  /** Tracks the lease holder. When it reports that its lease was not renewed, the row is read again at once. */
  private trackLeaseHolder({from, holdsLease}: GossipMessage): void {
    if (holdsLease) {
      this.holder = from;
      this.holderReportedAt = this.clock.monotonicMilliseconds();
    } else if (from === this.holder) {
      this.holderReportedAt = -Infinity;
    }
  }

  private recordRun(
    {from, instances}: GossipMessage,
    requestedAt: number,
  ): void {
    const senderHeartbeat = instances.find(({record}) => record.name === from);
    if (senderHeartbeat !== undefined) {
      this.dependencies.instances.recordResponse(
        senderHeartbeat.record,
        requestedAt,
      );
    }
  }

  private composeMessage(heartbeats: HeartbeatMessage): GossipMessage {
    const {limits, load, rests, slowness, suspicions} = this.dependencies;
    const loads = [...load.ownLoads].map(([upstream, figure]) => ({
      upstream,
      requests: figure.requests,
      starts: figure.starts,
      tokenLayers: Math.round(figure.tokenLayers),
    }));
    return {
      from: this.own.name,
      ...heartbeats,
      loads: loads.slice(0, MESSAGE_LIST_LIMIT),
      list: this.listExchange.own,
      slow: slowness.own.slice(0, MESSAGE_LIST_LIMIT),
      limits: limits.readings.slice(0, MESSAGE_LIST_LIMIT),
      rests: rests.readings.slice(0, MESSAGE_LIST_LIMIT),
      ...this.dependencies.promptGuard.createNews(),
      crashRecord: this.dependencies.crashRecordKeeper.createNews(),
      requestLosses: this.dependencies.requestLosses.createNews(),
      holdsLease: this.dependencies.lease.isRenewed,
      lost: suspicions.all.map(({upstream}) => upstream),
    };
  }

  private applyMessage(message: GossipMessage): void {
    const {instances, limits, load, rests, slowness} = this.dependencies;
    this.trackLeaseHolder(message);
    this.heartbeatExchange.apply(message.from, message);
    const figures = new Map(
      message.loads.map(({upstream, ...figure}) => [upstream, figure]),
    );
    if (this.dependencies.mechanisms.peerLoads) {
      load.setPeerLoad(
        message.from,
        this.clock.monotonicMilliseconds(),
        figures,
      );
    }
    message.slow.forEach(reading => slowness.recordFromPeer(reading));
    message.limits.forEach(reading => limits.recordFromPeer(reading));
    message.rests.forEach(reading => rests.recordFromPeer(reading));
    this.dependencies.promptGuard.applyNews(message);
    if (message.crashRecord !== undefined) {
      this.dependencies.crashRecordKeeper.applyNews(message.crashRecord);
    }
    if (message.requestLosses !== undefined) {
      this.dependencies.requestLosses.applyNews(message.requestLosses);
    }
    // What a cut-off peer cannot reach says nothing about the upstreams.
    if (!instances.isPeerCutOff(message.from)) {
      message.lost.forEach(upstream =>
        this.verifySuspicion(upstream, message.from),
      );
    }
  }

  /** Checks a peer's suspicion by a probe, since the peer itself may be partitioned from the upstream. */
  private verifySuspicion(id: string, peer: string): void {
    const {directory, suspicions, prober} = this.dependencies;
    const upstream = directory.find(id);
    const isKnown = suspicions.isSuspect(id) || prober.hasRecentlyResponded(id);
    if (upstream !== undefined && !isKnown) {
      void prober.probe(upstream, 'toldByPeer', {peer});
    }
  }

  override dispose(): void {
    this.logger.info('gossip stopped');
    super.dispose();
  }
}

/** Whether a call failed since no process listens at the peer's address. */
function isConnectionRefused(error: unknown): boolean {
  if (!(error instanceof Error)) {
    return false;
  }
  const {code} = error as NodeJS.ErrnoException;
  return code === 'ECONNREFUSED' || isConnectionRefused(error.cause);
}
