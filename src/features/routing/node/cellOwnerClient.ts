import {Clock} from '../../../base/common/clock.js';
import {DisposableOwner, toDisposable} from '../../../base/common/lifecycle.js';
import {InstanceMember} from '../../../infrastructure/membership/common/membershipList.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {limitCallTime} from '../common/callTimeLimit.js';
import {CellAuthority} from '../common/cellMessages.js';
import {CellMap} from '../common/cellMap.js';
import {CellDirectory} from './cellDirectory.js';

/** Creates the client for the cells of a peer. */
export type PeerAuthorityFactory = (address: string) => CellAuthority;

/** An answer and the instance that gave it. */
export interface OwnerAnswer<T> {
  readonly instanceId: string;
  readonly answer: T;
}

interface Peer {
  readonly address: string;
  readonly authority: CellAuthority;
  /** Undefined before the first answer. */
  smoothedRoundTripMilliseconds: number | undefined;
  /** Monotonic milliseconds before which the peer isn't called again, after it failed to answer. */
  backoffUntil: number;
  consecutiveFailures: number;
}

const MAX_OWNERS_ASKED = 3;
/** A call that takes longer than this multiple of its time-out shows that this process was paused. */
const PAUSE_RATIO = 2;
const INITIAL_TIMEOUT_MILLISECONDS = 100;
const MIN_TIMEOUT_MILLISECONDS = 60;
const MAX_TIMEOUT_MILLISECONDS = 250;
const TIMEOUT_ROUND_TRIPS = 4;
const ROUND_TRIP_SMOOTHING = 0.2;
const INITIAL_BACKOFF_MILLISECONDS = 500;
const MAX_BACKOFF_MILLISECONDS = 8000;

/** Calls the owner of a cell, and fails over to the next instance in order if it doesn't answer within a short time. */
export class CellOwnerClient extends DisposableOwner {
  private readonly peers = new Map<string, Peer>();
  private cells = CellMap.empty;

  constructor(
    private readonly instanceId: string,
    private readonly local: CellAuthority,
    private readonly createPeer: PeerAuthorityFactory,
    private readonly directory: CellDirectory,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {
    super();
    this.register(toDisposable(() => this.closePeersExcept(new Map())));
  }

  /** Applies a new system view and closes the connections to instances that left. */
  update(cells: CellMap, instances: readonly InstanceMember[]): void {
    this.cells = cells;
    this.closePeersExcept(
      new Map(instances.map(instance => [instance.id, instance])),
    );
  }

  /** Calls a cell's owners in order; undefined if none answered in time. `onNoAnswer` gets each that didn't answer. */
  async ask<T>(
    cell: string,
    call: (authority: CellAuthority, signal: AbortSignal) => Promise<T>,
    token: AbortSignal,
    onNoAnswer: (instanceId: string) => void,
  ): Promise<OwnerAnswer<T> | undefined> {
    for (const member of this.cells.ownersOf(cell, MAX_OWNERS_ASKED)) {
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
      onNoAnswer(member.id);
    }
    return undefined;
  }

  /** The authority of this process or of a connected peer; undefined for other instances. Makes no call. */
  authorityOfInstance(instanceId: string): CellAuthority | undefined {
    if (instanceId === this.instanceId) {
      return this.local;
    }
    return this.peers.get(instanceId)?.authority;
  }

  /** The authority of the cell's current owner. Makes no call. */
  authorityOfOwner(cell: string): CellAuthority | undefined {
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
    if (peer.backoffUntil > startedAt) {
      return undefined;
    }
    this.deferOtherCalls(peer, startedAt);
    const controller = new AbortController();
    const abort = (): void => controller.abort();
    token.addEventListener('abort', abort, {once: true});
    const limit = limitCallTime(this.clock, timeoutMillisecondsOf(peer), abort);
    try {
      const answer = await call(peer.authority, controller.signal);
      this.answered(peer, member, startedAt);
      return answer;
    } catch {
      if (!token.aborted && !this.wasProcessPaused(peer, startedAt)) {
        this.recordFailure(peer);
      }
      return undefined;
    } finally {
      limit.dispose();
      token.removeEventListener('abort', abort);
    }
  }

  /** Whether this process was paused during the call, so that the failure says nothing about the peer. */
  private wasProcessPaused(peer: Peer, startedAt: number): boolean {
    const elapsed = this.clock.monotonicMilliseconds() - startedAt;
    return elapsed > PAUSE_RATIO * timeoutMillisecondsOf(peer);
  }

  /** Makes other calls skip a failed peer while one call tries it again. */
  private deferOtherCalls(peer: Peer, now: number): void {
    if (peer.consecutiveFailures > 0) {
      peer.backoffUntil = now + MAX_TIMEOUT_MILLISECONDS;
    }
  }

  private answered(
    peer: Peer,
    member: InstanceMember,
    startedAt: number,
  ): void {
    const elapsed = this.clock.monotonicMilliseconds() - startedAt;
    const known = peer.smoothedRoundTripMilliseconds ?? elapsed;
    peer.smoothedRoundTripMilliseconds =
      known + ROUND_TRIP_SMOOTHING * (elapsed - known);
    peer.consecutiveFailures = 0;
    peer.backoffUntil = 0;
    this.directory.recordLinkTime(member.dataCentre, elapsed / 2);
    this.metrics.milliseconds('routing.owner.call', elapsed);
  }

  private recordFailure(peer: Peer): void {
    const backoff = Math.min(
      MAX_BACKOFF_MILLISECONDS,
      INITIAL_BACKOFF_MILLISECONDS * 2 ** peer.consecutiveFailures,
    );
    peer.consecutiveFailures += 1;
    peer.backoffUntil = this.clock.monotonicMilliseconds() + backoff;
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
      smoothedRoundTripMilliseconds: undefined,
      backoffUntil: 0,
      consecutiveFailures: 0,
    };
    this.peers.set(member.id, peer);
    return peer;
  }

  private closePeersExcept(kept: ReadonlyMap<string, InstanceMember>): void {
    for (const [id, peer] of this.peers) {
      if (kept.get(id)?.entryPeerAddress !== peer.address) {
        peer.authority.dispose();
        this.peers.delete(id);
      }
    }
  }
}

function timeoutMillisecondsOf(peer: Peer): number {
  if (peer.smoothedRoundTripMilliseconds === undefined) {
    return INITIAL_TIMEOUT_MILLISECONDS;
  }
  const timeout =
    MIN_TIMEOUT_MILLISECONDS +
    TIMEOUT_ROUND_TRIPS * peer.smoothedRoundTripMilliseconds;
  return Math.min(MAX_TIMEOUT_MILLISECONDS, timeout);
}
