import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {EngineConnector} from '../../../infrastructure/engine/common/engineConnection.js';
import {UpstreamMember} from '../../../infrastructure/membership/common/membershipList.js';
import {WeightStore} from '../../../infrastructure/weights/common/weightStore.js';
import {SystemView} from '../../membership/common/systemView.js';
import {replicasOf} from './dataCentreReplicas.js';
import {DemandMeter} from './demandMeter.js';
import {EngineWatch} from './engineWatch.js';
import {ManifestCache} from './manifestCache.js';
import {PlacementChange, PlacementPlan} from './placementPlan.js';
import {ReplicaView} from './placementView.js';
import {planPlacement} from './planPlacement.js';
import {ReplicaMemory} from './replicaMemory.js';
import {stateOf} from './replicaState.js';

/** Engines at rest asked in each round: some 0.75 KB, whatever the size of the data centre. */
const RESTING_POLLS = 1;
/** Engines of replicas that change, asked in each round at most. */
const CHANGING_POLLS = 16;
/** Reports that a change rests on may be this old. */
const FRESH_MILLISECONDS = 5_000;
/** Time between decisions while nothing changes. */
const RESTING_DECISION_MILLISECONDS = 5_000;

type Groups = ReadonlyMap<string, readonly UpstreamMember[]>;

/** What is known of one data centre's engines, and what it calls for. */
export class PlacementSurvey {
  readonly watch: EngineWatch;
  readonly memory: ReplicaMemory;
  private readonly manifests: ManifestCache;
  private readonly demand = new DemandMeter();
  private listed: readonly UpstreamMember[] = [];
  private groups: Groups = new Map();
  private decidedAt = -Infinity;
  private decidedRevision = 0;

  constructor(
    private readonly dataCentre: string,
    connector: EngineConnector,
    weights: WeightStore,
    private readonly clock: Clock,
  ) {
    this.watch = new EngineWatch(connector, clock);
    this.memory = new ReplicaMemory(this.watch);
    this.manifests = new ManifestCache(weights, clock);
  }

  /** Takes the list and asks a few engines. */
  async refresh(system: SystemView, token: CancellationToken): Promise<void> {
    this.follow(system.upstreams);
    const models = Object.values(system.configuration.models);
    await this.manifests.refresh(models, token);
    const resting = this.watch.oldest(RESTING_POLLS);
    const changing = this.changingEngines(system).slice(0, CHANGING_POLLS);
    await this.watch.poll([...changing, ...resting], token);
  }

  /** Whether it is time to decide: all engines were asked once, and something changes or changed. */
  isDue(system: SystemView): boolean {
    const {revision} = system.configuration;
    const rested = this.clock.monotonicMilliseconds() - this.decidedAt;
    return (
      this.watch.isComplete &&
      (rested >= RESTING_DECISION_MILLISECONDS ||
        revision !== this.decidedRevision ||
        this.changingEngines(system).length > 0)
    );
  }

  /** Takes the load that engines report now and decides. */
  decide(system: SystemView): PlacementPlan {
    const now = this.clock.monotonicMilliseconds();
    const {models, revision} = system.configuration;
    const states = this.replicas(system).map(view => stateOf(view, models));
    this.demand.observe(states, now);
    this.decidedAt = now;
    this.decidedRevision = revision;
    return this.plan(system);
  }

  /** Renews reports that are old, and says whether the change is still called for. */
  async isStillPlanned(
    change: PlacementChange,
    system: SystemView,
    token: CancellationToken,
  ): Promise<boolean> {
    const members = this.groups.get(change.group) ?? [];
    const ids = members.map(({id}) => id);
    const oldest = this.clock.monotonicMilliseconds() - FRESH_MILLISECONDS;
    if (this.watch.wereAskedSince(ids, oldest)) {
      return true;
    }
    await this.watch.poll(ids, token);
    return this.plan(system).changes.some(one => isSameChange(one, change));
  }

  /** Forgets everything, as others may have changed it. */
  forget(): void {
    this.watch.follow([]);
    this.memory.reset();
    this.demand.reset();
    this.listed = [];
    this.groups = new Map();
  }

  private follow(upstreams: readonly UpstreamMember[]): void {
    if (upstreams !== this.listed) {
      this.listed = upstreams;
      this.groups = replicasOf(upstreams, this.dataCentre);
      this.watch.follow([...this.groups.values()].flat());
    }
  }

  private plan(system: SystemView): PlacementPlan {
    const now = this.clock.monotonicMilliseconds();
    const {models, classes} = system.configuration;
    const {dataCentre, share} = this;
    const replicas = this.replicas(system);
    const view = {dataCentre, share, models, classes, replicas};
    const demand = this.demand.demand(now);
    return planPlacement(view, demand, this.manifests.manifests, now);
  }

  /** Share of all listed engines that belong to this data centre's replicas. */
  private get share(): number {
    const own = [...this.groups.values()].flat().length;
    const all = this.listed.filter(({role}) => role === 'engine').length;
    return all === 0 ? 0 : own / all;
  }

  private changingEngines(system: SystemView): readonly string[] {
    const {models} = system.configuration;
    return this.replicas(system)
      .filter(view => isChanging(stateOf(view, models).kind))
      .flatMap(view => view.engines.map(({member}) => member.id));
  }

  private replicas(system: SystemView): readonly ReplicaView[] {
    const {models} = system.configuration;
    const now = this.clock.monotonicMilliseconds();
    return this.memory.views(this.groups, models, now);
  }
}

function isChanging(kind: string): boolean {
  return kind === 'draining' || kind === 'loading' || kind === 'incomplete';
}

function isSameChange(left: PlacementChange, right: PlacementChange): boolean {
  return (
    left.group === right.group &&
    left.kind === right.kind &&
    left.to.model === right.to.model &&
    left.to.version === right.to.version
  );
}
