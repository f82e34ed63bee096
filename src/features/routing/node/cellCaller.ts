import {Clock} from '../../../base/common/clock.js';
import {DisposableOwner, toDisposable} from '../../../base/common/lifecycle.js';
import {InstanceMember} from '../../../infrastructure/membership/common/membershipList.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {CellAuthority} from '../common/cellMessages.js';
import {CellMap} from '../common/cellMap.js';
import {CellDirectory} from './cellDirectory.js';

/** Makes the authority that stands for a peer. */
export type PeerCellsFactory = (address: string) => CellAuthority;

/** An answer and the instance that gave it. */
export interface PlacedAnswer<T> {
  readonly instanceId: string;
  readonly answer: T;
}

interface Peer {
  readonly address: string;
  readonly authority: CellAuthority;
  /** Smoothed milliseconds of a call; undefined before the first answer. */
  roundTrip: number | undefined;
  /** Monotonic milliseconds before which it is not asked again, after it failed to answer. */
  avoidUntil: number;
  failuresInARow: number;
}

const OWNERS_ASKED = 3;
/** A call that took this many times its time-out shows that this process was paused. */
const PAUSE_RATIO = 2;
const FIRST_TIMEOUT_MILLISECONDS = 100;
const SHORTEST_TIMEOUT_MILLISECONDS = 60;
const LONGEST_TIMEOUT_MILLISECONDS = 250;
const ROUND_TRIPS_WAITED = 4;
const ROUND_TRIP_SMOOTHING = 0.2;
const FIRST_AVOIDANCE_MILLISECONDS = 500;
const LONGEST_AVOIDANCE_MILLISECONDS = 8000;

/** Asks the owner of a cell, and the next in order if it doesn't answer within a short time. */
export class CellCaller extends DisposableOwner {
  private readonly peers = new Map<string, Peer>();
  private cells = CellMap.empty;

  constructor(
    private readonly instanceId: string,
    private readonly local: CellAuthority,
    private readonly createPeer: PeerCellsFactory,
    private readonly directory: CellDirectory,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {
    super();
    this.register(toDisposable(() => this.dropPeers(new Map())));
  }

  /** Takes a new view: connections to instances that left are closed. */
  update(cells: CellMap, instances: readonly InstanceMember[]): void {
    this.cells = cells;
    this.dropPeers(new Map(instances.map(one => [one.id, one])));
  }

  /** Asks about a cell; undefined if no owner answered in time. Each instance asked is told to `onLost` if it failed. */
  async ask<T>(
    cell: string,
    call: (authority: CellAuthority, signal: AbortSignal) => Promise<T>,
    token: AbortSignal,
    onLost: (instanceId: string) => void,
  ): Promise<PlacedAnswer<T> | undefined> {
    for (const member of this.cells.ownersOf(cell, OWNERS_ASKED)) {
      if (token.aborted) {
        return undefined;
      }
      if (member.id === this.instanceId) {
        const answer = await call(this.local, token);
        return {instanceId: member.id, answer};
      }
      const answer = await this.askPeer(member, call, token);
      if (answer !== undefined) {
        return {instanceId: member.id, answer};
      }
      onLost(member.id);
    }
    return undefined;
  }

  /** The authority of an instance of the present view, without asking it anything. */
  authorityOf(instanceId: string): CellAuthority | undefined {
    if (instanceId === this.instanceId) {
      return this.local;
    }
    return this.peers.get(instanceId)?.authority;
  }

  /** The authority that owns a cell now. */
  ownerOf(cell: string): CellAuthority | undefined {
    const [owner] = this.cells.ownersOf(cell, 1);
    if (owner === undefined || owner.id === this.instanceId) {
      return owner === undefined ? undefined : this.local;
    }
    return this.peerOf(owner).authority;
  }

  private async askPeer<T>(
    member: InstanceMember,
    call: (authority: CellAuthority, signal: AbortSignal) => Promise<T>,
    token: AbortSignal,
  ): Promise<T | undefined> {
    const peer = this.peerOf(member);
    const startedAt = this.clock.monotonicMilliseconds();
    if (peer.avoidUntil > startedAt) {
      return undefined;
    }
    this.avoidOthersMeanwhile(peer, startedAt);
    const controller = new AbortController();
    const abort = (): void => controller.abort();
    token.addEventListener('abort', abort, {once: true});
    const timer = this.clock.setTimer(timeoutOf(peer), abort);
    try {
      const answer = await call(peer.authority, controller.signal);
      this.answered(peer, member, startedAt);
      return answer;
    } catch {
      if (!token.aborted && !this.wasPaused(peer, startedAt)) {
        this.failed(peer);
      }
      return undefined;
    } finally {
      timer.dispose();
      token.removeEventListener('abort', abort);
    }
  }

  /** Whether this process itself stood still, so that the peer can't be blamed. */
  private wasPaused(peer: Peer, startedAt: number): boolean {
    const took = this.clock.monotonicMilliseconds() - startedAt;
    return took > PAUSE_RATIO * timeoutOf(peer);
  }

  /** While a peer that failed is tried again, other calls pass it by. */
  private avoidOthersMeanwhile(peer: Peer, now: number): void {
    if (peer.failuresInARow > 0) {
      peer.avoidUntil = now + LONGEST_TIMEOUT_MILLISECONDS;
    }
  }

  private answered(
    peer: Peer,
    member: InstanceMember,
    startedAt: number,
  ): void {
    const took = this.clock.monotonicMilliseconds() - startedAt;
    const known = peer.roundTrip ?? took;
    peer.roundTrip = known + ROUND_TRIP_SMOOTHING * (took - known);
    peer.failuresInARow = 0;
    peer.avoidUntil = 0;
    this.directory.learnLink(member.dataCentre, took / 2);
    this.metrics.milliseconds('routing.owner.call', took);
  }

  private failed(peer: Peer): void {
    const avoidance = Math.min(
      LONGEST_AVOIDANCE_MILLISECONDS,
      FIRST_AVOIDANCE_MILLISECONDS * 2 ** peer.failuresInARow,
    );
    peer.failuresInARow += 1;
    peer.avoidUntil = this.clock.monotonicMilliseconds() + avoidance;
    this.metrics.count('routing.owner.unreachable', 1);
  }

  private peerOf(member: InstanceMember): Peer {
    const known = this.peers.get(member.id);
    if (known?.address === member.entryPeerAddress) {
      return known;
    }
    known?.authority.dispose();
    const peer: Peer = {
      address: member.entryPeerAddress,
      authority: this.createPeer(member.entryPeerAddress),
      roundTrip: undefined,
      avoidUntil: 0,
      failuresInARow: 0,
    };
    this.peers.set(member.id, peer);
    return peer;
  }

  private dropPeers(kept: ReadonlyMap<string, InstanceMember>): void {
    for (const [id, peer] of this.peers) {
      if (kept.get(id)?.entryPeerAddress !== peer.address) {
        peer.authority.dispose();
        this.peers.delete(id);
      }
    }
  }
}

function timeoutOf(peer: Peer): number {
  if (peer.roundTrip === undefined) {
    return FIRST_TIMEOUT_MILLISECONDS;
  }
  const adapted =
    SHORTEST_TIMEOUT_MILLISECONDS + ROUND_TRIPS_WAITED * peer.roundTrip;
  return Math.min(LONGEST_TIMEOUT_MILLISECONDS, adapted);
}
