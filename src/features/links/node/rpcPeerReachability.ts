import {Clock} from '../../../base/common/clock.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {MemoryBudget} from '../../../base/common/memoryBudget.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {RpcClientFactory} from '../../../infrastructure/rpc/node/rpc.js';
import {TokenBucket} from '../../fleet/common/tokenBucket.js';
import {PeerReachability, Reachability} from '../common/reachability.js';
import {LinkRouter, reachabilitySchema} from './linkRouter.js';

/** A peer waits for one connection without an answer at most, for 120 ms; refusals come at once. */
const ANSWER_TIMEOUT_MILLISECONDS = 300;

/** Limits the questions of this instance, since an end that is sought in vain is sought again. */
const QUESTION_BURST = 400;
const QUESTIONS_PER_SECOND = 10;

/** A peer that can be asked. */
export interface AskedPeer {
  readonly name: string;
  /** Address for peers, `IP:port`. */
  readonly peerAddress: string;
}

/** Asks all peers by remote calls. */
export class RpcPeerReachability
  extends DisposableOwner
  implements PeerReachability
{
  private readonly connections: RpcClientFactory;
  private readonly questions: TokenBucket;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    peerKey: string,
    private readonly peers: () => readonly AskedPeer[],
    memory?: MemoryBudget,
  ) {
    super();
    this.connections = this.register(new RpcClientFactory(peerKey, memory));
    this.questions = new TokenBucket(
      QUESTION_BURST,
      QUESTION_BURST,
      clock.monotonicMilliseconds(),
    );
  }

  async askAll(address: string): Promise<readonly Reachability[] | undefined> {
    const peers = this.peers();
    const now = this.clock.monotonicMilliseconds();
    this.questions.refill(now, QUESTIONS_PER_SECOND);
    if (!this.questions.tryTake(peers.length)) {
      this.logger.decision('peersNotAsked', {address, peers: peers.length});
      return undefined;
    }
    return Promise.all(peers.map(peer => this.ask(peer, address)));
  }

  private async ask(
    {name, peerAddress}: AskedPeer,
    address: string,
  ): Promise<Reachability> {
    const abortController = new AbortController();
    const timer = this.clock.setResponseTimer(ANSWER_TIMEOUT_MILLISECONDS, () =>
      abortController.abort(),
    );
    try {
      const client = this.connections.clientFor<LinkRouter>(peerAddress);
      const finding = await client.links.test.mutate(
        {address},
        {signal: abortController.signal},
      );
      return reachabilitySchema.parse(finding);
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      this.logger.decision('peerDidNotTest', {peer: name, address, detail});
      return 'unknown';
    } finally {
      timer.dispose();
    }
  }
}
