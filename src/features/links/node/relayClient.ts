import {Socket} from 'node:net';

import {Clock} from '../../../base/common/clock.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {openTunnel} from '../../../infrastructure/tunnel/node/openTunnel.js';

/** Maximum peers that are asked for one connection; just after a cut, some of them may be cut off, too. */
const PEERS_PER_CONNECTION = 3;

/** The next peer is asked this long after the one before, unless a connection stands by then. */
const NEXT_PEER_MILLISECONDS = 25;

/** Timeout of one peer: two connections inside a region. */
const TUNNEL_TIMEOUT_MILLISECONDS = 150;

/** A peer that could not help is asked last for this long. */
const FAILURE_MEMORY_MILLISECONDS = 2_000;

/** A connection may live and be used for this long after it was opened. */
const RELAY_MEMORY_MILLISECONDS = 30_000;

/** A peer that may relay connections. */
export interface Relay {
  readonly name: string;
  /** Address for peers, `IP:port`. */
  readonly peerAddress: string;
}

/** Opens connections to upstreams through peers. */
export class RelayClient {
  private readonly failedAt = new Map<string, number>();
  /** When each peer last opened a connection for this instance, by address and name. */
  private readonly openedAt = new Map<string, Map<string, number>>();

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly logger: Logger,
    private readonly peerKey: string,
    /** The peers that serve and are not cut off themselves. */
    private readonly relays: () => readonly Relay[],
  ) {}

  /** Opens a connection to an address; resolves with undefined if no peer could. */
  async open(address: string): Promise<Socket | undefined> {
    let winner: Socket | undefined;
    const peers = this.choosePeers();
    const attempts = peers.map(async (peer, index) => {
      await this.sleep(index * NEXT_PEER_MILLISECONDS);
      const socket =
        winner === undefined
          ? await this.openThrough(peer, address)
          : undefined;
      if (socket === undefined) {
        throw new Error(`not connected through ${peer.name}`);
      }
      if (winner === undefined) {
        winner = socket;
        this.recordRelay(address, peer);
      } else {
        socket.destroy();
      }
    });
    try {
      await Promise.any(attempts);
    } catch {
      const asked = peers.map(({name}) => name);
      this.logger.decision('notRelayed', {address, asked});
    }
    return winner;
  }

  /** Names of the peers over which requests to an address may have gone lately. */
  recentRelays(address: string): readonly string[] {
    const from = this.clock.monotonicMilliseconds() - RELAY_MEMORY_MILLISECONDS;
    return [...(this.openedAt.get(address) ?? [])]
      .filter(([, openedAt]) => openedAt >= from)
      .map(([name]) => name);
  }

  private recordRelay(address: string, {name}: Relay): void {
    const now = this.clock.monotonicMilliseconds();
    const peers = this.openedAt.get(address) ?? new Map<string, number>();
    this.openedAt.set(address, peers.set(name, now));
    for (const known of this.openedAt.keys()) {
      if (this.recentRelays(known).length === 0) {
        this.openedAt.delete(known);
      }
    }
  }

  private async openThrough(
    peer: Relay,
    targetAddress: string,
  ): Promise<Socket | undefined> {
    const tunnel = await openTunnel({
      relayAddress: peer.peerAddress,
      targetAddress,
      peerKey: this.peerKey,
      milliseconds: TUNNEL_TIMEOUT_MILLISECONDS,
    });
    if (tunnel.ok) {
      return tunnel.value;
    }
    this.failedAt.set(peer.name, this.clock.monotonicMilliseconds());
    return undefined;
  }

  /** Peers in random order, so that all relay about as much; those that failed recently come last. */
  private choosePeers(): readonly Relay[] {
    const candidates = [...this.relays()];
    const shuffled: Relay[] = [];
    while (candidates.length > 0) {
      const index = this.random.nextInteger(candidates.length);
      shuffled.push(...candidates.splice(index, 1));
    }
    const reliable = shuffled.filter(peer => !this.hasFailed(peer));
    const failed = shuffled.filter(peer => this.hasFailed(peer));
    return [...reliable, ...failed].slice(0, PEERS_PER_CONNECTION);
  }

  private hasFailed({name}: Relay): boolean {
    const failedAt = this.failedAt.get(name) ?? -Infinity;
    const now = this.clock.monotonicMilliseconds();
    return now - failedAt < FAILURE_MEMORY_MILLISECONDS;
  }

  private sleep(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      this.clock.setTimer(milliseconds, resolve);
    });
  }
}
