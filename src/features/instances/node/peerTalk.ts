import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {momentOf} from '../../../base/common/moment.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {RpcConnections} from '../../../infrastructure/rpc/node/rpc.js';
import {Slowness} from '../../fleet/common/slowness.js';
import {Suspicions} from '../../fleet/common/suspicions.js';
import {UpstreamDirectory} from '../../fleet/common/upstreamDirectory.js';
import {UpstreamLoad} from '../../fleet/common/upstreamLoad.js';
import {UpstreamTrials} from '../../forwarding/node/upstreamTrials.js';
import {Mechanisms} from '../../mechanisms/common/mechanisms.js';
import {RepeatingTask} from '../../membership/common/repeatingTask.js';
import {TableLease} from '../../placement/common/tableLease.js';
import {InstanceRecord} from '../common/instance.js';
import {InstanceRegistry} from '../common/instanceRegistry.js';
import {InstanceTable} from '../common/instanceTable.js';
import {ListExchange} from '../common/listExchange.js';
import {PEER_LIST_LIMIT, PeerNews, peerNewsSchema} from '../common/peerNews.js';
import {NewsRouter} from './newsRouter.js';

/** Time between two rounds of exchanges. */
const PERIOD_MILLISECONDS = 400;

/** Peers that are talked to in one round; with more instances news takes more rounds. */
const PEERS_PER_ROUND = 4;

/** Time of one exchange: data centres are a millisecond or so apart. */
const EXCHANGE_MILLISECONDS = 300;

/** Rounds between two readings of the list of instances; peers tell each other sooner. */
const ROUNDS_PER_LISTING = 40;

/** The holder of the lease talks to each peer about twice a second; after this time its row is read again. */
const HOLDER_MILLISECONDS = 1_000;

/** What the talk is about. */
export interface TalkParts {
  readonly instances: InstanceTable;
  readonly registry: InstanceRegistry;
  readonly directory: UpstreamDirectory;
  readonly load: UpstreamLoad;
  readonly slowness: Slowness;
  readonly suspicions: Suspicions;
  readonly trials: UpstreamTrials;
  readonly lease: TableLease;
  readonly mechanisms: Mechanisms;
}

/** Tells peers what this instance knows and takes what they know. */
export class PeerTalk extends DisposableOwner {
  private readonly task: RepeatingTask;
  private readonly connections: RpcConnections;
  private readonly lists: ListExchange;
  private round = 0;
  private holderHeardAt = -Infinity;
  /** The peer that said last that it holds the lease. */
  private holder = '';
  private isAnnounced = false;

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly logger: Logger,
    private readonly own: InstanceRecord,
    peerKey: string,
    private readonly parts: TalkParts,
  ) {
    super();
    this.lists = new ListExchange(parts.directory);
    this.connections = this.register(new RpcConnections(peerKey));
    this.task = this.register(
      new RepeatingTask(
        clock,
        random,
        () => PERIOD_MILLISECONDS,
        token => this.talk(token),
      ),
    );
    this.register(
      parts.suspicions.onDidSuspect(({reason}) => {
        if (reason !== 'toldByPeer') {
          this.task.runNow();
        }
      }),
    );
  }

  /** Begins to talk. */
  start(): void {
    this.task.runNow();
  }

  /** Tells all peers at once, for news that can't wait. */
  async tellAll(token: CancellationToken): Promise<void> {
    const peers = this.parts.instances.peers;
    await Promise.all(peers.map(peer => this.exchangeWith(peer, token)));
  }

  /** Whether a peer that holds the lease for layers was heard of just now. */
  get isHolderHeard(): boolean {
    const now = this.clock.monotonicMilliseconds();
    return now - this.holderHeardAt < HOLDER_MILLISECONDS;
  }

  /** Answers a peer. */
  answer(news: PeerNews): PeerNews {
    this.take(news);
    return {...this.compose(), list: this.lists.answerTo(news.list)};
  }

  private async talk(token: CancellationToken): Promise<void> {
    const isListing = this.round % ROUNDS_PER_LISTING === 0;
    this.round++;
    if (isListing || !this.isAnnounced) {
      await this.list(token);
    }
    const peers = this.pick(this.parts.instances.peers);
    await Promise.all(peers.map(peer => this.exchangeWith(peer, token)));
  }

  private async list(token: CancellationToken): Promise<void> {
    const {registry, instances} = this.parts;
    this.isAnnounced ||= await registry.announce(this.own, token);
    const records = await registry.list(token);
    records?.forEach(record => instances.learn(record));
  }

  private pick(peers: readonly InstanceRecord[]): readonly InstanceRecord[] {
    // The one that reads the list of upstreams for this instance is asked in every round.
    const {reader} = this.parts.instances;
    const left = peers.filter(({name}) => name !== reader);
    const picked = peers.filter(({name}) => name === reader);
    while (left.length > 0 && picked.length < PEERS_PER_ROUND) {
      picked.push(...left.splice(this.random.nextInteger(left.length), 1));
    }
    return picked;
  }

  private async exchangeWith(
    peer: InstanceRecord,
    token: CancellationToken,
  ): Promise<void> {
    const limit = new AbortController();
    const timer = this.clock.setTimer(EXCHANGE_MILLISECONDS, () =>
      limit.abort(),
    );
    const cancelled = token.onDidCancel(() => limit.abort());
    const askedAt = momentOf(this.clock);
    try {
      const client = this.connections.client<NewsRouter>(peer.peerAddress);
      const answered = await client.news.exchange.mutate(this.compose(), {
        signal: limit.signal,
      });
      const answer = peerNewsSchema.parse(answered);
      this.take(answer);
      this.noteRun(answer, askedAt.monotonic);
      this.lists.take(answer.list, askedAt);
    } catch {
      // The table writes the line: silent peers are news only once.
      this.parts.instances.noteUnreachable(peer.name);
    } finally {
      timer.dispose();
      cancelled.dispose();
    }
  }

  /** A holder that could not renew the lease says so: then its row is watched at once. */
  private noteHolder({from, holdsLease}: PeerNews): void {
    if (holdsLease) {
      this.holder = from;
      this.holderHeardAt = this.clock.monotonicMilliseconds();
    } else if (from === this.holder) {
      this.holderHeardAt = -Infinity;
    }
  }

  private noteRun({from, instances}: PeerNews, askedAt: number): void {
    const own = instances.find(({record}) => record.name === from);
    if (own !== undefined) {
      this.parts.instances.noteAnswer(own.record, askedAt);
    }
  }

  private compose(): PeerNews {
    const {instances, load, slowness, suspicions} = this.parts;
    const loads = [...load.ownFigures].map(([upstream, figure]) => ({
      upstream,
      requests: figure.requests,
      tokenLayers: Math.round(figure.tokenLayers),
    }));
    return {
      from: this.own.name,
      instances: instances.allNews.slice(0, PEER_LIST_LIMIT),
      loads: loads.slice(0, PEER_LIST_LIMIT),
      list: this.lists.own,
      slow: slowness.own.slice(0, PEER_LIST_LIMIT),
      holdsLease: this.parts.lease.isRenewed,
      lost: suspicions.all.map(({upstream}) => upstream),
    };
  }

  private take(news: PeerNews): void {
    const {instances, load, slowness} = this.parts;
    this.noteHolder(news);
    news.instances.forEach(entry => instances.hear(entry));
    const figures = new Map(
      news.loads.map(({upstream, ...figure}) => [upstream, figure]),
    );
    if (this.parts.mechanisms.peerLoads) {
      load.setPeer(news.from, this.clock.monotonicMilliseconds(), figures);
    }
    news.slow.forEach(reading => slowness.hear(reading));
    news.lost.forEach(upstream => this.verify(upstream, news.from));
  }

  /** A peer may be cut off itself, so its word is tried before it counts. */
  private verify(id: string, peer: string): void {
    const {directory, suspicions, trials} = this.parts;
    const upstream = directory.find(id);
    const isKnown = suspicions.has(id) || trials.hasJustAnswered(id);
    if (upstream !== undefined && !isKnown) {
      void trials.try(upstream, 'toldByPeer', {peer});
    }
  }

  override dispose(): void {
    this.logger.info('talk with peers ended');
    super.dispose();
  }
}
