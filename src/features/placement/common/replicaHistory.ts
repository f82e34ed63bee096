import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';
import {Model} from '../../configuration/common/configuration.js';
import {EngineWatch} from './engineWatch.js';
import {ModelVersion, ReplicaView} from './placementView.js';
import {ReplicaKind, ReplicaState, stateOf} from './replicaState.js';

interface KindPeriod {
  readonly kind: ReplicaKind;
  /** Monotonic milliseconds since which the replica has been of this kind. */
  readonly since: number;
}

/**
 * Tracks what reports don't state about replicas: times, intended versions and back-off. A new holder of the lease
 * starts without it, which only makes it wait longer.
 */
export class ReplicaHistory {
  private readonly kinds = new Map<string, KindPeriod>();
  private readonly intendedVersions = new Map<string, ModelVersion>();
  private readonly backoffs = new Map<string, number>();

  constructor(private readonly watch: EngineWatch) {}

  /** Sets the version that a replica is drained for. */
  setIntendedVersion(group: string, version: ModelVersion): void {
    this.intendedVersions.set(group, version);
  }

  /** Blocks changes of a replica until a time. */
  setBackoff(group: string, until: number): void {
    this.backoffs.set(group, until);
  }

  /** Returns views of the replicas, made from the newest reports. */
  views(
    groups: ReadonlyMap<string, readonly UpstreamMember[]>,
    models: Readonly<Record<string, Model>>,
    now: number,
  ): readonly ReplicaView[] {
    this.removeUnlisted(groups);
    return [...groups].map(([group, members]) => {
      const engines = members.flatMap(({id}) => this.watch.view(id) ?? []);
      const state = stateOf({group, engines}, models);
      return {...state.view, ...this.recordKind(state, now)};
    });
  }

  /** Discards everything, for example because another process held the lease meanwhile. */
  reset(): void {
    this.removeUnlisted(new Map());
  }

  private recordKind(state: ReplicaState, now: number): Partial<ReplicaView> {
    const {group} = state.view;
    const previous = this.kinds.get(group);
    const {kind} = state;
    const since = previous?.kind === kind ? previous.since : now;
    this.kinds.set(group, {kind, since});
    if (kind === 'live' && previous !== undefined && previous.kind !== 'live') {
      this.intendedVersions.delete(group);
    }
    return {
      drainingSince: kind === 'draining' ? since : undefined,
      incompleteSince: kind === 'incomplete' ? since : undefined,
      intendedVersion: this.intendedVersions.get(group),
      backoffUntil: this.backoffs.get(group),
    };
  }

  private removeUnlisted(groups: ReadonlyMap<string, unknown>): void {
    for (const map of [this.kinds, this.intendedVersions, this.backoffs]) {
      for (const group of map.keys()) {
        if (!groups.has(group)) {
          map.delete(group);
        }
      }
    }
  }
}
