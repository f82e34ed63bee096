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
import {ReplicaHistory} from './replicaHistory.js';
import {stateOf} from './replicaState.js';

/** Engines polled per round in the background: about 0.75 KB a round, whatever the size of the data centre. */
const BACKGROUND_POLLS_PER_ROUND = 1;
/** Most engines of changing replicas that are polled in a round. */
const MAX_CHANGING_POLLS_PER_ROUND = 16;
/** Largest age of the reports that a change is based on. */
const MAX_REPORT_AGE_MILLISECONDS = 5_000;
/** Time between decisions while no replica changes. */
const DECISION_INTERVAL_MILLISECONDS = 5_000;

type EnginesByGroup = ReadonlyMap<string, readonly UpstreamMember[]>;

/** Collects reports, demand and manifests of one data centre and plans placement from them. */
export class PlacementPlanner {
  readonly watch: EngineWatch;
  readonly replicaHistory: ReplicaHistory;
  private readonly manifests: ManifestCache;
  private readonly demandMeter = new DemandMeter();
  private listedUpstreams: readonly UpstreamMember[] = [];
  private enginesByGroup: EnginesByGroup = new Map();
  private decidedAt = -Infinity;
  private decidedRevision = 0;

  constructor(
    private readonly dataCentre: string,
    connector: EngineConnector,
    weights: WeightStore,
    private readonly clock: Clock,
  ) {
    this.watch = new EngineWatch(connector, clock);
    this.replicaHistory = new ReplicaHistory(this.watch);
    this.manifests = new ManifestCache(weights, clock);
  }

  /** Applies the list of engines, reads missing manifests and polls a few engines. */
  async refresh(system: SystemView, token: CancellationToken): Promise<void> {
    this.updateEngines(system.upstreams);
    const models = Object.values(system.configuration.models);
    await this.manifests.refresh(models, token);
    const background = this.watch.leastRecentlyPolled(
      BACKGROUND_POLLS_PER_ROUND,
    );
    const changing = this.changingEngines(system).slice(
      0,
      MAX_CHANGING_POLLS_PER_ROUND,
    );
    await this.watch.poll([...changing, ...background], token);
  }

  /**
   * Whether a decision is due: all engines were polled once, and the configuration changed, a replica is changing or
   * the interval is over.
   */
  isDecisionDue(system: SystemView): boolean {
    const {revision} = system.configuration;
    const sinceDecision = this.clock.monotonicMilliseconds() - this.decidedAt;
    return (
      this.watch.hasPolledAll &&
      (sinceDecision >= DECISION_INTERVAL_MILLISECONDS ||
        revision !== this.decidedRevision ||
        this.changingEngines(system).length > 0)
    );
  }

  /** Records the load that engines report and plans changes. */
  decide(system: SystemView): PlacementPlan {
    const now = this.clock.monotonicMilliseconds();
    const {models, revision} = system.configuration;
    const states = this.replicas(system).map(view => stateOf(view, models));
    this.demandMeter.observe(states, now);
    this.decidedAt = now;
    this.decidedRevision = revision;
    return this.createPlan(system);
  }

  /** Polls the replica's engines if their reports are old, and then checks that the change is still planned. */
  async isStillPlanned(
    change: PlacementChange,
    system: SystemView,
    token: CancellationToken,
  ): Promise<boolean> {
    const members = this.enginesByGroup.get(change.group) ?? [];
    const ids = members.map(({id}) => id);
    const oldest =
      this.clock.monotonicMilliseconds() - MAX_REPORT_AGE_MILLISECONDS;
    if (this.watch.werePolledSince(ids, oldest)) {
      return true;
    }
    await this.watch.poll(ids, token);
    return this.createPlan(system).changes.some(planned =>
      isSameChange(planned, change),
    );
  }

  /** Discards all state, because another holder of the lease may change the replicas. */
  forget(): void {
    this.watch.setEngines([]);
    this.replicaHistory.reset();
    this.demandMeter.reset();
    this.listedUpstreams = [];
    this.enginesByGroup = new Map();
  }

  private updateEngines(upstreams: readonly UpstreamMember[]): void {
    if (upstreams !== this.listedUpstreams) {
      this.listedUpstreams = upstreams;
      this.enginesByGroup = replicasOf(upstreams, this.dataCentre);
      this.watch.setEngines([...this.enginesByGroup.values()].flat());
    }
  }

  private createPlan(system: SystemView): PlacementPlan {
    const now = this.clock.monotonicMilliseconds();
    const {models, classes} = system.configuration;
    const {dataCentre, share} = this;
    const replicas = this.replicas(system);
    const view = {dataCentre, share, models, classes, replicas};
    const demand = this.demandMeter.demand(now);
    return planPlacement(view, demand, this.manifests.manifests, now);
  }

  /** Share of all listed engines that belong to this data centre's replicas. */
  private get share(): number {
    const own = [...this.enginesByGroup.values()].flat().length;
    const all = this.listedUpstreams.filter(
      ({role}) => role === 'engine',
    ).length;
    return all === 0 ? 0 : own / all;
  }

  private changingEngines(system: SystemView): readonly string[] {
    const {models} = system.configuration;
    return this.replicas(system)
      .filter(view => isChangingKind(stateOf(view, models).kind))
      .flatMap(view => view.engines.map(({member}) => member.id));
  }

  private replicas(system: SystemView): readonly ReplicaView[] {
    const {models} = system.configuration;
    const now = this.clock.monotonicMilliseconds();
    return this.replicaHistory.views(this.enginesByGroup, models, now);
  }
}

function isChangingKind(kind: string): boolean {
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
