import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';
import {Model} from '../../configuration/common/configuration.js';
import {EngineWatch} from './engineWatch.js';
import {Intent, ReplicaView} from './placementView.js';
import {ReplicaKind, ReplicaState, stateOf} from './replicaState.js';

interface Remembered {
  readonly kind: ReplicaKind;
  /** Monotonic milliseconds since which the replica is of this kind. */
  readonly since: number;
}

/** Remembers of replicas what reports don't state. A successor goes without: it only waits longer. */
export class ReplicaMemory {
  private readonly kinds = new Map<string, Remembered>();
  private readonly intents = new Map<string, Intent>();
  private readonly barred = new Map<string, number>();

  constructor(private readonly watch: EngineWatch) {}

  /** What the replica is emptied for. */
  intend(group: string, intent: Intent): void {
    this.intents.set(group, intent);
  }

  /** Nothing is tried with the replica before a time. */
  bar(group: string, until: number): void {
    this.barred.set(group, until);
  }

  /** Views of replicas from the newest reports. */
  views(
    groups: ReadonlyMap<string, readonly UpstreamMember[]>,
    models: Readonly<Record<string, Model>>,
    now: number,
  ): readonly ReplicaView[] {
    this.retain(groups);
    return [...groups].map(([group, members]) => {
      const engines = members.flatMap(({id}) => this.watch.view(id) ?? []);
      const state = stateOf({group, engines}, models);
      return {...state.view, ...this.note(state, now)};
    });
  }

  /** Forgets everything, as when another took over in between. */
  reset(): void {
    this.retain(new Map());
  }

  private note(state: ReplicaState, now: number): Partial<ReplicaView> {
    const {group} = state.view;
    const known = this.kinds.get(group);
    const {kind} = state;
    const since = known?.kind === kind ? known.since : now;
    this.kinds.set(group, {kind, since});
    if (kind === 'live' && known !== undefined && known.kind !== 'live') {
      this.intents.delete(group);
    }
    return {
      drainingSince: kind === 'draining' ? since : undefined,
      incompleteSince: kind === 'incomplete' ? since : undefined,
      intent: this.intents.get(group),
      barredUntil: this.barred.get(group),
    };
  }

  private retain(groups: ReadonlyMap<string, unknown>): void {
    for (const map of [this.kinds, this.intents, this.barred]) {
      for (const group of map.keys()) {
        if (!groups.has(group)) {
          map.delete(group);
        }
      }
    }
  }
}
