/** What one upstream has in progress. */
export interface LoadFigure {
  readonly requests: number;
  /**
   * Memory that it needs: tokens of prompts and expected answers, times the layers through which each runs here. A
   * path may use a part of what an upstream holds.
   */
  readonly tokenLayers: number;
}

const NO_LOAD: LoadFigure = {requests: 0, tokenLayers: 0};

/** Peers' figures that are older than this count for nothing: they come every half second or so. */
const PEER_FIGURE_MILLISECONDS = 3_000;

/** The load that one peer has put on upstreams. */
interface PeerLoad {
  readonly at: number;
  readonly figures: ReadonlyMap<string, LoadFigure>;
}

/**
 * The load on each upstream, from what this instance has in progress and what its peers say of
 * theirs. Reports of the upstreams lag and are charged; this lags only for the peers' part.
 */
export class UpstreamLoad {
  private readonly own = new Map<string, LoadFigure>();
  private readonly peers = new Map<string, PeerLoad>();
  private readonly others = new Map<string, LoadFigure>();

  /** Counts a request on an upstream. */
  add(upstream: string, tokenLayers: number): void {
    this.change(upstream, 1, tokenLayers);
  }

  /** Takes a request off an upstream again. */
  remove(upstream: string, tokenLayers: number): void {
    this.change(upstream, -1, -tokenLayers);
  }

  /** The figures of this instance alone, for its peers. */
  get ownFigures(): ReadonlyMap<string, LoadFigure> {
    return this.own;
  }

  /** Takes a peer's figures in place of its last ones. */
  setPeer(
    peer: string,
    at: number,
    figures: ReadonlyMap<string, LoadFigure>,
  ): void {
    this.peers.set(peer, {at, figures});
    this.sumPeers(at);
  }

  /** The load on an upstream by all instances that are heard of. */
  of(upstream: string): LoadFigure {
    const own = this.own.get(upstream) ?? NO_LOAD;
    const others = this.others.get(upstream) ?? NO_LOAD;
    return {
      requests: own.requests + others.requests,
      tokenLayers: own.tokenLayers + others.tokenLayers,
    };
  }

  private sumPeers(now: number): void {
    this.others.clear();
    for (const [peer, load] of this.peers) {
      if (now - load.at > PEER_FIGURE_MILLISECONDS) {
        this.peers.delete(peer);
        continue;
      }
      for (const [upstream, figure] of load.figures) {
        this.others.set(upstream, sum(this.others.get(upstream), figure));
      }
    }
  }

  private change(
    upstream: string,
    requests: number,
    tokenLayers: number,
  ): void {
    const figure = sum(this.own.get(upstream), {requests, tokenLayers});
    if (figure.requests <= 0) {
      this.own.delete(upstream);
    } else {
      this.own.set(upstream, figure);
    }
  }
}

function sum(left: LoadFigure | undefined, right: LoadFigure): LoadFigure {
  return {
    requests: (left?.requests ?? 0) + right.requests,
    tokenLayers: (left?.tokenLayers ?? 0) + right.tokenLayers,
  };
}
