import {TRPCClient} from '@trpc/client';

import {Clock} from '../../../base/common/clock.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {MemoryBudget} from '../../../base/common/memoryBudget.js';
import {failure, Result, success} from '../../../base/common/result.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {RpcClientFactory} from '../../../infrastructure/rpc/node/rpc.js';
import {
  chooseLossCollector,
  LossAnnouncer,
} from '../../crashes/common/lossAnnouncer.js';
import {
  RequestLosses,
  RequestLossNews,
} from '../../crashes/common/requestLosses.js';
import {requestLossNewsSchema} from '../common/gossipMessage.js';
import {InstanceRecord} from '../common/instance.js';
import {InstanceTable} from '../common/instanceTable.js';
import {GossipRouter} from './gossipRouter.js';

/** A caller whose request has failed waits for its answer meanwhile; the latency between data centres is about a millisecond. */
const ANSWER_TIMEOUT_MILLISECONDS = 150;

/** Validates the answer of a collector; it knows nothing if it considers what was reported refuted. */
const lossAnswerSchema = requestLossNewsSchema.optional();

/** Tells peers by remote calls; announcements to all that come while one is under way share the next one. */
export class RpcLossAnnouncer extends DisposableOwner implements LossAnnouncer {
  private readonly connections: RpcClientFactory;
  /** Requests that the next announcement is about. */
  private readonly waitingKeys = new Set<string>();
  private running: Promise<void> = Promise.resolve();
  private next: Promise<void> | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    peerKey: string,
    private readonly ownName: string,
    private readonly losses: RequestLosses,
    private readonly instances: Pick<InstanceTable, 'peers' | 'serving'>,
    memory: MemoryBudget,
  ) {
    super();
    this.connections = this.register(new RpcClientFactory(peerKey, memory));
  }

  announce(key: string): Promise<void> {
    this.waitingKeys.add(key);
    this.next ??= this.running.then(() => this.tellAll());
    return this.next;
  }

  async report(key: string): Promise<void> {
    const news = this.losses.createNewsOf([key]);
    const {serving} = this.instances;
    const collector = chooseLossCollector(key, serving, ({name}) => name);
    if (
      news === undefined ||
      collector === undefined ||
      collector.name === this.ownName
    ) {
      return;
    }
    const known = await this.call(collector, news, async (client, signal) =>
      lossAnswerSchema.parse(
        await client.news.lossReport.mutate(news, {signal}),
      ),
    );
    if (!known.ok) {
      await this.announce(key);
    } else if (known.value !== undefined) {
      this.losses.applyNews(known.value);
    }
  }

  /** Takes the losses that a peer reports to this instance as their collector; returns what is known of the requests. */
  collect(news: RequestLossNews): RequestLossNews | undefined {
    const {known, keysForAll} = this.losses.collect(news);
    for (const key of keysForAll) {
      void this.announce(key);
    }
    return known;
  }

  private tellAll(): Promise<void> {
    this.next = undefined;
    const news = this.losses.createNewsOf([...this.waitingKeys]);
    this.waitingKeys.clear();
    const peers = news === undefined ? [] : this.instances.peers;
    this.running = Promise.all(peers.map(peer => this.tell(peer, news!))).then(
      () => undefined,
    );
    return this.running;
  }

  private async tell(
    peer: InstanceRecord,
    news: RequestLossNews,
  ): Promise<void> {
    await this.call(peer, news, (client, signal) =>
      client.news.requestLosses.mutate(news, {signal}),
    );
  }

  /** Calls a peer with a time limit; a call that fails is logged. */
  private async call<T>(
    {name, peerAddress}: InstanceRecord,
    news: RequestLossNews,
    send: (client: TRPCClient<GossipRouter>, signal: AbortSignal) => Promise<T>,
  ): Promise<Result<T, 'notTold'>> {
    const abortController = new AbortController();
    const timer = this.clock.setResponseTimer(ANSWER_TIMEOUT_MILLISECONDS, () =>
      abortController.abort(),
    );
    try {
      const client = this.connections.clientFor<GossipRouter>(peerAddress);
      return success(await send(client, abortController.signal));
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      this.logger.decision('peerNotTold', {
        peer: name,
        losses: news.losses.length,
        detail,
      });
      return failure('notTold');
    } finally {
      timer.dispose();
    }
  }
}
