import {Clock} from '../../../base/common/clock.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';
import {ServiceChoice} from './routing.js';
import {UpstreamHealthTracker} from './upstreamHealthTracker.js';

/** Where a process stands, to prefer what is near. */
export interface Place {
  readonly dataCentre: string;
  readonly region: string;
}

interface Replica {
  readonly member: UpstreamMember;
  outstanding: number;
  /** Calls at once that it takes, learned from refusals. */
  limit: number;
}

const FIRST_LIMIT = 64;
const LARGEST_LIMIT = 1024;
const DECREASE = 0.8;
/** Share of the limit that must be in use for it to grow. */
const IN_USE_SHARE = 0.8;
const TIME_SMOOTHING = 0.1;
const FIRST_TIME_MILLISECONDS = 50;
const SHORTEST_RETRY_MILLISECONDS = 20;
const NO_REPLICA_RETRY_MILLISECONDS = 1000;

/** Chooses replicas of plain services: the less loaded of two, near ones first. */
export class ServiceChooser {
  private readonly replicas = new Map<string, Replica>();
  private readonly tracker = new UpstreamHealthTracker();
  private meanMilliseconds = FIRST_TIME_MILLISECONDS;

  constructor(
    private readonly place: Place,
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  /** Takes the platform's list; counts of replicas that stay are kept. */
  update(upstreams: readonly UpstreamMember[]): void {
    const services = upstreams.filter(one => one.role === 'service');
    const listed = new Set(services.map(one => one.id));
    for (const id of [...this.replicas.keys()]) {
      if (!listed.has(id)) {
        this.replicas.delete(id);
      }
    }
    for (const member of services) {
      const known = this.replicas.get(member.id);
      const counts = known ?? {outstanding: 0, limit: FIRST_LIMIT};
      this.replicas.set(member.id, {...counts, member});
    }
    this.tracker.list(services.map(listedService), this.now());
  }

  /** Takes a slot at a replica, or says when to come back. */
  choose(service: string, excluded: readonly string[]): ServiceChoice {
    this.tracker.tick(this.now());
    const serving = [...this.replicas.values()]
      .filter(one => one.member.group === service)
      .filter(one => one.member.state === 'live')
      .filter(one => !excluded.includes(one.member.id));
    const free = serving.filter(one => this.hasRoom(one));
    const chosen = this.lessLoadedOfTwo(nearest(free, this.place));
    if (chosen === undefined) {
      return {kind: 'none', retryAfterMilliseconds: this.retryAfter(serving)};
    }
    chosen.outstanding += 1;
    const {id, address} = chosen.member;
    return {kind: 'chosen', upstream: id, address, candidates: free.length};
  }

  /** Returns a slot and learns from the outcome. */
  release(
    upstream: string,
    outcome: 'completed' | 'failed' | 'refused',
    milliseconds: number,
  ): void {
    const replica = this.replicas.get(upstream);
    if (replica === undefined) {
      return;
    }
    const inUse = replica.outstanding;
    replica.outstanding = Math.max(0, inUse - 1);
    switch (outcome) {
      case 'completed':
        this.completed(replica, inUse, milliseconds);
        return;
      case 'refused':
        replica.limit = Math.max(1, Math.min(replica.limit, inUse) * DECREASE);
        return;
      case 'failed':
        this.tracker.connectionFailed(upstream, this.now());
        return;
    }
  }

  private completed(
    replica: Replica,
    inUse: number,
    milliseconds: number,
  ): void {
    this.tracker.stepSucceeded(replica.member.id, this.now());
    this.meanMilliseconds +=
      TIME_SMOOTHING * (milliseconds - this.meanMilliseconds);
    if (inUse >= replica.limit * IN_USE_SHARE) {
      const grown = replica.limit + 1 / replica.limit;
      replica.limit = Math.min(LARGEST_LIMIT, grown);
    }
  }

  private hasRoom(replica: Replica): boolean {
    const {id} = replica.member;
    if (this.tracker.health(id) === 'quarantined') {
      return false;
    }
    const limit = this.tracker.sequenceLimit(id, replica.limit, this.now());
    return replica.outstanding < Math.max(1, Math.floor(limit));
  }

  private lessLoadedOfTwo(replicas: readonly Replica[]): Replica | undefined {
    const first = replicas[this.random.nextInteger(replicas.length)];
    const others = replicas.filter(one => one !== first);
    const second = others[this.random.nextInteger(others.length)];
    if (first === undefined || second === undefined) {
      return first;
    }
    return second.outstanding < first.outstanding ? second : first;
  }

  /** Jittered, so that those refused together don't come back together. */
  private retryAfter(serving: readonly Replica[]): number {
    const base =
      serving.length === 0
        ? NO_REPLICA_RETRY_MILLISECONDS
        : Math.max(SHORTEST_RETRY_MILLISECONDS, this.meanMilliseconds);
    return Math.round(base * (1 + this.random.next()));
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}

function listedService(member: UpstreamMember) {
  return {
    upstream: member.id,
    dataCentre: member.dataCentre,
    kind: member.group,
    leaving: member.state === 'leaving',
  };
}

/** Those of the own data centre, else of the region, else all. */
function nearest(
  replicas: readonly Replica[],
  place: Place,
): readonly Replica[] {
  const near = replicas.filter(
    one => one.member.dataCentre === place.dataCentre,
  );
  if (near.length > 0) {
    return near;
  }
  const region = replicas.filter(one => one.member.region === place.region);
  return region.length > 0 ? region : replicas;
}
