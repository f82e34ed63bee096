import {Clock} from '../../../base/common/clock.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';
import {ServiceChoice} from './routing.js';
import {UpstreamHealthTracker} from './upstreamHealthTracker.js';

/** Location of a process; replicas near it are preferred. */
export interface ProcessLocation {
  readonly dataCentre: string;
  readonly region: string;
}

interface Replica {
  readonly member: UpstreamMember;
  outstanding: number;
  /** Maximum concurrent calls, adapted to the replica's refusals. */
  limit: number;
}

const INITIAL_LIMIT = 64;
const MAXIMUM_LIMIT = 1024;
const DECREASE_FACTOR = 0.8;
/** Share of the limit that must be in use for the limit to grow. */
const MINIMUM_UTILIZATION = 0.8;
const LATENCY_SMOOTHING = 0.1;
const INITIAL_LATENCY_MILLISECONDS = 50;
const MINIMUM_RETRY_MILLISECONDS = 20;
const NO_REPLICA_RETRY_MILLISECONDS = 1000;

/** Chooses replicas of plain services: the less loaded of two random ones among the nearest with a free slot. */
export class ServiceChooser {
  private readonly replicas = new Map<string, Replica>();
  private readonly tracker = new UpstreamHealthTracker();
  private meanLatencyMilliseconds = INITIAL_LATENCY_MILLISECONDS;

  constructor(
    private readonly place: ProcessLocation,
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  /** Applies a list of upstreams. Replicas that stay listed keep their call counts and limits. */
  update(upstreams: readonly UpstreamMember[]): void {
    const services = upstreams.filter(member => member.role === 'service');
    const listedIds = new Set(services.map(member => member.id));
    for (const id of [...this.replicas.keys()]) {
      if (!listedIds.has(id)) {
        this.replicas.delete(id);
      }
    }
    for (const member of services) {
      const previous = this.replicas.get(member.id);
      const state = previous ?? {outstanding: 0, limit: INITIAL_LIMIT};
      this.replicas.set(member.id, {...state, member});
    }
    this.tracker.list(services.map(toListedUpstream), this.now());
  }

  /** Takes a slot at a replica, or refuses with a retry delay. */
  choose(service: string, excluded: readonly string[]): ServiceChoice {
    this.tracker.tick(this.now());
    const serving = [...this.replicas.values()]
      .filter(replica => replica.member.group === service)
      .filter(replica => replica.member.state === 'live')
      .filter(replica => !excluded.includes(replica.member.id));
    const available = serving.filter(replica => this.hasFreeSlot(replica));
    const chosen = this.lessLoadedOfTwo(nearestReplicas(available, this.place));
    if (chosen === undefined) {
      return {kind: 'none', retryAfterMilliseconds: this.retryAfter(serving)};
    }
    chosen.outstanding += 1;
    const {id, address} = chosen.member;
    return {
      kind: 'chosen',
      upstream: id,
      address,
      candidates: available.length,
    };
  }

  /** Releases a slot and updates limit, health and latency from the outcome. */
  release(
    upstream: string,
    outcome: 'completed' | 'failed' | 'refused',
    latencyMilliseconds: number,
  ): void {
    const replica = this.replicas.get(upstream);
    if (replica === undefined) {
      return;
    }
    const inUse = replica.outstanding;
    replica.outstanding = Math.max(0, inUse - 1);
    switch (outcome) {
      case 'completed':
        this.completed(replica, inUse, latencyMilliseconds);
        return;
      case 'refused':
        replica.limit = Math.max(
          1,
          Math.min(replica.limit, inUse) * DECREASE_FACTOR,
        );
        return;
      case 'failed':
        this.tracker.connectionFailed(upstream, this.now());
        return;
    }
  }

  private completed(
    replica: Replica,
    inUse: number,
    latencyMilliseconds: number,
  ): void {
    this.tracker.stepSucceeded(replica.member.id, this.now());
    this.meanLatencyMilliseconds +=
      LATENCY_SMOOTHING * (latencyMilliseconds - this.meanLatencyMilliseconds);
    if (inUse >= replica.limit * MINIMUM_UTILIZATION) {
      const grown = replica.limit + 1 / replica.limit;
      replica.limit = Math.min(MAXIMUM_LIMIT, grown);
    }
  }

  private hasFreeSlot(replica: Replica): boolean {
    const {id} = replica.member;
    if (this.tracker.health(id) === 'quarantined') {
      return false;
    }
    const limit = this.tracker.sequenceLimit(id, replica.limit, this.now());
    return replica.outstanding < Math.max(1, Math.floor(limit));
  }

  private lessLoadedOfTwo(replicas: readonly Replica[]): Replica | undefined {
    const first = replicas[this.random.nextInteger(replicas.length)];
    const others = replicas.filter(replica => replica !== first);
    const second = others[this.random.nextInteger(others.length)];
    if (first === undefined || second === undefined) {
      return first;
    }
    return second.outstanding < first.outstanding ? second : first;
  }

  /** Retry delay with jitter, so that calls refused together don't retry together. */
  private retryAfter(serving: readonly Replica[]): number {
    const baseDelay =
      serving.length === 0
        ? NO_REPLICA_RETRY_MILLISECONDS
        : Math.max(MINIMUM_RETRY_MILLISECONDS, this.meanLatencyMilliseconds);
    return Math.round(baseDelay * (1 + this.random.next()));
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}

function toListedUpstream(member: UpstreamMember) {
  return {
    upstream: member.id,
    dataCentre: member.dataCentre,
    kind: member.group,
    leaving: member.state === 'leaving',
  };
}

/** Replicas in the same data centre, else in the same region, else all. */
function nearestReplicas(
  replicas: readonly Replica[],
  place: ProcessLocation,
): readonly Replica[] {
  const inDataCentre = replicas.filter(
    replica => replica.member.dataCentre === place.dataCentre,
  );
  if (inDataCentre.length > 0) {
    return inDataCentre;
  }
  const inRegion = replicas.filter(
    replica => replica.member.region === place.region,
  );
  return inRegion.length > 0 ? inRegion : replicas;
}
