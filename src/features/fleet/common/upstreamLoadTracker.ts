/** Load of the requests in progress on an upstream. */
export interface RequestLoad {
  readonly requests: number;
  /** Those of the requests that the upstream receives itself; only these take one of its slots. */
  readonly starts: number;
  /**
   * KV-cache use: the sum of tokens of prompt and expected output, times the layers that the request uses here. A path
   * may use only some of the layers that an upstream holds.
   */
  readonly tokenLayers: number;
}

const NO_LOAD: RequestLoad = {requests: 0, starts: 0, tokenLayers: 0};

/**
 * Time after which the load from a peer is dropped. A peer sends it about every half second among a few instances, and
 * more seldom the more there are.
 */
const PEER_LOAD_LIFETIME_MILLISECONDS = 3_000;

/** The load that a peer has put on upstreams. */
interface PeerLoad {
  readonly receivedAt: number;
  readonly loadByUpstream: ReadonlyMap<string, RequestLoad>;
}

/**
 * Tracks the load on each upstream as the sum of the loads that this instance and its peers have put on it. Reports
 * of upstreams arrive late and are charged; here only the share of the peers is delayed. Peers that have not reported
 * recently count as much as the others on average.
 */
export class UpstreamLoadTracker {
  private readonly own = new Map<string, RequestLoad>();
  private readonly peers = new Map<string, PeerLoad>();
  private readonly peerTotals = new Map<string, RequestLoad>();
  /** Number of peers for which each report of a peer stands. */
  private peersPerReport = 1;

  /** @param peerCount number of peers that serve */
  constructor(private readonly peerCount: () => number = () => 0) {}

  /**
   * Adds a request on an upstream.
   * @param startsHere whether the upstream receives it, rather than a part of its work
   */
  add(upstream: string, tokenLayers: number, startsHere = true): void {
    const starts = startsHere ? 1 : 0;
    this.change(upstream, {requests: 1, starts, tokenLayers});
  }

  /** Removes a request that was added before, with the same values. */
  remove(upstream: string, tokenLayers: number, startsHere = true): void {
    const starts = startsHere ? -1 : 0;
    this.change(upstream, {requests: -1, starts, tokenLayers: -tokenLayers});
  }

  /** The load from this instance alone, to be sent to peers. */
  get ownLoads(): ReadonlyMap<string, RequestLoad> {
    return this.own;
  }

  /** Replaces the load from a peer, received at a time in monotonic milliseconds. */
  setPeerLoad(
    peer: string,
    receivedAt: number,
    loadByUpstream: ReadonlyMap<string, RequestLoad>,
  ): void {
    this.peers.set(peer, {receivedAt, loadByUpstream});
    this.updatePeerTotals(receivedAt);
  }

  /** The load on an upstream from this instance and, as far as the recent reports tell, all peers. */
  totalOf(upstream: string): RequestLoad {
    const own = this.own.get(upstream) ?? NO_LOAD;
    const others = this.peerTotals.get(upstream) ?? NO_LOAD;
    const factor = this.peersPerReport;
    return {
      requests: own.requests + others.requests * factor,
      starts: own.starts + others.starts * factor,
      tokenLayers: own.tokenLayers + others.tokenLayers * factor,
    };
  }

  private updatePeerTotals(now: number): void {
    this.peerTotals.clear();
    for (const [peer, load] of this.peers) {
      if (now - load.receivedAt > PEER_LOAD_LIFETIME_MILLISECONDS) {
        this.peers.delete(peer);
        continue;
      }
      for (const [upstream, figure] of load.loadByUpstream) {
        this.peerTotals.set(
          upstream,
          addLoads(this.peerTotals.get(upstream), figure),
        );
      }
    }
    const reports = Math.max(1, this.peers.size);
    this.peersPerReport = Math.max(1, this.peerCount() / reports);
  }

  private change(upstream: string, difference: RequestLoad): void {
    const figure = addLoads(this.own.get(upstream), difference);
    if (figure.requests <= 0) {
      this.own.delete(upstream);
    } else {
      this.own.set(upstream, figure);
    }
  }
}

function addLoads(
  left: RequestLoad | undefined,
  right: RequestLoad,
): RequestLoad {
  return {
    requests: (left?.requests ?? 0) + right.requests,
    starts: (left?.starts ?? 0) + right.starts,
    tokenLayers: (left?.tokenLayers ?? 0) + right.tokenLayers,
  };
}
